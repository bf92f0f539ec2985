// Counts the bytes that links carry.
#pragma once

#include <atomic>
#include <cstdint>

namespace parsleycove {

// Frames with their headers, without those of TCP and IP. Shared by any number
// of links and threads.
struct LinkTraffic
{
  std::atomic<std::uint64_t> m_sentBytes{ 0 };
  std::atomic<std::uint64_t> m_receivedBytes{ 0 };
};

} // namespace parsleycove
