// Counts the runners on which the attempts of a stream began.
#include "Forwarding/FirstRunners.h"

#include <algorithm>

namespace parsleycove {

namespace {

bool
IsSameStart(const Runner& aLeft, const Runner& aRight)
{
  return aLeft.m_id == aRight.m_id &&
         aLeft.m_incarnation == aRight.m_incarnation;
}

} // namespace

void
FirstRunners::Add(const RunnerPtr& aRunner)
{
  if (!Contains(*aRunner)) {
    m_entries.push_back(Entry{ aRunner });
  }
}

void
FirstRunners::RecordBroken(TimePoint aNow, const Runner& aRunner)
{
  for (Entry& entry : m_entries) {
    if (IsSameStart(*entry.m_runner, aRunner)) {
      entry.m_brokenAt = aNow;
    }
  }
}

bool
FirstRunners::Contains(const Runner& aRunner) const
{
  return std::any_of(
    m_entries.begin(), m_entries.end(), [&](const Entry& aEntry) {
      return IsSameStart(*aEntry.m_runner, aRunner);
    });
}

std::size_t
FirstRunners::CountLive(const RunnerTable* aListed) const
{
  return static_cast<std::size_t>(
    std::count_if(m_entries.begin(), m_entries.end(), [&](const Entry& aEntry) {
      return !HasEnded(aEntry, aListed);
    }));
}

std::vector<RunnerPtr>
FirstRunners::FindBroken(const RunnerTable* aListed) const
{
  std::vector<RunnerPtr> result;
  for (const Entry& entry : m_entries) {
    if (entry.m_brokenAt && !HasEnded(entry, aListed)) {
      result.push_back(entry.m_runner);
    }
  }
  return result;
}

bool
FirstRunners::HasEnded(const Entry& aEntry, const RunnerTable* aListed)
{
  const Runner& runner = *aEntry.m_runner;
  if (aListed != nullptr) {
    const Runner* listed = aListed->FindRunner(runner.m_id);
    if (listed == nullptr || !IsSameStart(*listed, runner)) {
      return true;
    }
  }
  const RunnerLoad& load = *runner.m_load;
  if (load.HasStartedAgain() || load.IsRefusing()) {
    return true;
  }
  // Without a broken connection a probe's silence may be a pause.
  return aEntry.m_brokenAt && load.UnreachedAt() >= *aEntry.m_brokenAt &&
         load.UnreachedAt() > load.ReachedAt();
}

} // namespace parsleycove
