// Bounds of the replicated state.
#pragma once

#include <cstddef>
#include <cstdint>

namespace parsleycove {

// The same on every replica of a cluster, since results depend on them.
struct StateLimits
{
  // A finished action is kept at least this long after it finished.
  std::uint64_t m_minRetentionMs = 15ULL * 60 * 1000;
  // A finished action is kept at most this long, room permitting.
  std::uint64_t m_maxRetentionMs = 24ULL * 60 * 60 * 1000;
  // A key that carries its time may be ahead of the state's time by this.
  std::uint64_t m_maxKeyLeadMs = 5ULL * 60 * 1000;
  std::size_t m_maxActions = 1'000'000;
  std::size_t m_maxActionBytes = 768ULL * 1024 * 1024;
  // The body of a longer answer is not stored, only that the action ran.
  std::size_t m_maxAnswerBytes = 64ULL * 1024;
  // First answers to change ids: two days at 4,500 changes a day.
  std::size_t m_maxChangeRecords = 10'000;
};

} // namespace parsleycove
