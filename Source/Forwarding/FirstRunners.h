// Counts the runners on which the attempts of a stream began.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "Base/Clock.h"
#include "Routing/RunnerTable.h"

namespace parsleycove {

// A route limits on how many runners one request may run. A runner that has
// ended or was cut off does not count, but a broken connection alone does not
// show that: connections are reset, and a live runner ends a stream whose path
// behind it has failed. So a runner counts until there is evidence of its end.
//
// Invariant: holds each start of a runner once.
class FirstRunners
{
public:
  // Does nothing if this start of the runner was added before.
  void Add(const RunnerPtr& aRunner);
  // Records that the connection of an attempt broke.
  void RecordBroken(TimePoint aNow, const Runner& aRunner);
  bool Contains(const Runner& aRunner) const;
  // Returns the number of runners not known to have ended. aListed: nullptr if
  // no view of the control group was received.
  std::size_t CountLive(const RunnerTable* aListed) const;
  // Returns the runners whose connection broke and that are not known to have
  // ended.
  std::vector<RunnerPtr> FindBroken(const RunnerTable* aListed) const;

private:
  struct Entry
  {
    RunnerPtr m_runner;
    // When a connection last broke.
    std::optional<TimePoint> m_brokenAt{};
  };

  static bool HasEnded(const Entry& aEntry, const RunnerTable* aListed);

  std::vector<Entry> m_entries;
};

} // namespace parsleycove
