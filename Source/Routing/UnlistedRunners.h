// Remembers endpoints that are missing from the present cluster view.
//
// Fault pattern: an endpoint is cut off from the control group, or the control
// group starts anew, and the endpoint is listed again some seconds later in the
// same start. The gateways reached it all the while. What it has asked for, and
// what was learnt of it, holds on.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "Base/Clock.h"
#include "Routing/Runner.h"

namespace parsleycove {

class RunnerTable;

// Invariants: at most kMaxCount endpoints, each start of an endpoint once.
class UnlistedRunners
{
public:
  static constexpr std::size_t kMaxCount = 4096;
  // An endpoint is remembered for this long after it was last listed, and for
  // as long as its pause lasts.
  static constexpr Duration kRetention = std::chrono::hours(1);

  // Returns nullptr if this start of the endpoint is not remembered.
  const Runner* Find(std::string_view aId, std::uint64_t aIncarnation) const;
  void ForgetExpired(TimePoint aNow);
  // Adds the endpoints of aBefore that are not in aListed, and forgets those
  // that are listed or have started again. Above kMaxCount the endpoints
  // without a pause, an ejection or an open circuit are forgotten first, of
  // these the ones that have been missing for longest.
  void Update(TimePoint aNow,
              const std::vector<RunnerPtr>& aBefore,
              const RunnerTable& aListed);
  std::size_t Count() const { return m_entries.size(); }

private:
  struct Entry
  {
    RunnerPtr m_runner;
    // When it was first missing.
    TimePoint m_missingSince{};
  };

  void LimitCount(TimePoint aNow);

  // Sorted by id, then by incarnation.
  std::vector<Entry> m_entries;
};

} // namespace parsleycove
