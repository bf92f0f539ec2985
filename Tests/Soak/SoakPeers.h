// Tells which process holds the other end of a loopback connection.
#pragma once

#include <cstdint>

#include <sys/types.h>

namespace parsleycove {

// Returns the inode of the socket that is bound to this local TCP port and
// connected to aPeerPort, or 0 if there is none.
std::uint64_t
FindSocket(std::uint16_t aPort, std::uint16_t aPeerPort);

// Returns true if the process has this socket open.
bool
HoldsSocket(pid_t aProcess, std::uint64_t aSocket);

} // namespace parsleycove
