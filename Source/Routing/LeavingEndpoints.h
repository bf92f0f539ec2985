// Remembers which endpoints have said that they leave.
//
// The decision covers a release on a fleet whose feed is interrupted: an
// endpoint that leaves drops out of the feed, for example because its lease
// ended, and returns to it by a heartbeat that was delayed on its way.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

#include "Routing/RunnerTable.h"

namespace parsleycove {

// Not thread-safe; used by one thread.
class LeavingEndpoints
{
public:
  // The oldest entries are dropped above this number.
  static constexpr std::size_t kMaxEntries = 4096;

  void Add(const Runner& aRunner);
  // Marks the endpoints of aTable that have said that they leave, by id and
  // incarnation.
  void Restore(const RunnerTable& aTable) const;

private:
  std::unordered_set<std::uint64_t> m_keys;
  // The same keys, oldest first.
  std::deque<std::uint64_t> m_order;
};

} // namespace parsleycove
