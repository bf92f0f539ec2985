// Counts the allocations of the process.
#pragma once

#include <cstdint>

namespace parsleycove {

// Number of calls to operator new so far.
std::uint64_t
CountAllocations();

} // namespace parsleycove
