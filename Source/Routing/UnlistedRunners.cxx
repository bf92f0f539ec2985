// Remembers endpoints that are missing from the present cluster view.
#include "Routing/UnlistedRunners.h"

#include <algorithm>
#include <utility>

#include "Routing/RunnerTable.h"

namespace parsleycove {

namespace {

using Start = std::pair<std::string_view, std::uint64_t>;

Start
StartOf(const Runner& aRunner)
{
  return { aRunner.m_id, aRunner.m_incarnation };
}

// Returns true if this start of the endpoint or a later one is listed.
bool
IsListed(const Runner& aRunner, const RunnerTable& aListed)
{
  const Runner* listed = aListed.FindRunner(aRunner.m_id);
  return listed != nullptr && listed->m_incarnation >= aRunner.m_incarnation;
}

} // namespace

const Runner*
UnlistedRunners::Find(std::string_view aId, std::uint64_t aIncarnation) const
{
  const Start wanted(aId, aIncarnation);
  const auto found =
    std::lower_bound(m_entries.begin(),
                     m_entries.end(),
                     wanted,
                     [](const Entry& aEntry, const Start& aWanted) {
                       return StartOf(*aEntry.m_runner) < aWanted;
                     });
  return found != m_entries.end() && StartOf(*found->m_runner) == wanted
           ? found->m_runner.get()
           : nullptr;
}

void
UnlistedRunners::ForgetExpired(TimePoint aNow)
{
  std::erase_if(m_entries, [aNow](const Entry& aEntry) {
    return aNow >= std::max(aEntry.m_missingSince + kRetention,
                            aEntry.m_runner->m_load->Notice().PausedUntil());
  });
}

void
UnlistedRunners::Update(TimePoint aNow,
                        const std::vector<RunnerPtr>& aBefore,
                        const RunnerTable& aListed)
{
  for (const RunnerPtr& runner : aBefore) {
    if (!IsListed(*runner, aListed)) {
      m_entries.push_back({ runner, aNow });
    }
  }
  std::erase_if(m_entries, [&](const Entry& aEntry) {
    return IsListed(*aEntry.m_runner, aListed);
  });
  LimitCount(aNow);
  std::sort(m_entries.begin(),
            m_entries.end(),
            [](const Entry& aLeft, const Entry& aRight) {
              return StartOf(*aLeft.m_runner) < StartOf(*aRight.m_runner);
            });
}

void
UnlistedRunners::LimitCount(TimePoint aNow)
{
  if (m_entries.size() <= kMaxCount) {
    return;
  }
  const auto rank = [aNow](const Entry& aEntry) {
    return std::pair(!aEntry.m_runner->m_load->IsAvoided(aNow),
                     -aEntry.m_missingSince.time_since_epoch());
  };
  std::nth_element(m_entries.begin(),
                   m_entries.begin() + kMaxCount,
                   m_entries.end(),
                   [&](const Entry& aLeft, const Entry& aRight) {
                     return rank(aLeft) < rank(aRight);
                   });
  m_entries.resize(kMaxCount);
}

} // namespace parsleycove
