// Counts the allocations of the process.
#include "Bench/Decision/AllocationCount.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> g_allocations{ 0 };

} // namespace

namespace parsleycove {

std::uint64_t
CountAllocations()
{
  return g_allocations.load(std::memory_order_relaxed);
}

} // namespace parsleycove

// NOLINTBEGIN: the replacements have the standard's names
void*
operator new(std::size_t aSize)
{
  g_allocations.fetch_add(1, std::memory_order_relaxed);
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void
operator delete(void* aMemory, std::size_t /*aSize*/) noexcept
{
  std::free(aMemory);
}
// NOLINTEND
