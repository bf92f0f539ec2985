// What the kernel tells about a process under test.
#pragma once

#include <cstddef>

#include <sys/types.h>

#include "Base/SocketAddress.h"

namespace parsleycove {

// Largest resident memory since the start of the process; 0 once it has ended.
std::size_t
PeakMemoryBytes(pid_t aProcess);

std::size_t
OpenDescriptors(pid_t aProcess);

// Returns true if the kernel holds bytes that connections to this local address
// have received and their process has not read.
bool
HasUnreadBytes(const SocketAddress& aLocal);

} // namespace parsleycove
