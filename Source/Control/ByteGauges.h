// Figures of the bytes that one replica keeps, for the metrics.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace parsleycove {

// Written by the replica's thread, read by any thread.
struct ByteGauges
{
  std::atomic<std::size_t> m_log{ 0 };         // the log's entries in memory
  std::atomic<std::size_t> m_uncommitted{ 0 }; // those not committed
  std::atomic<std::size_t> m_queued{ 0 };      // wait to be sent to peers
  std::atomic<std::size_t> m_history{ 0 };     // first answers to changes
  std::atomic<std::size_t> m_stored{ 0 };      // log and snapshot on disk
  // Commands that were refused because of m_uncommitted, and messages held back
  // because of m_queued.
  std::atomic<std::uint64_t> m_refused{ 0 };
  std::atomic<std::uint64_t> m_heldBack{ 0 };
};

} // namespace parsleycove
