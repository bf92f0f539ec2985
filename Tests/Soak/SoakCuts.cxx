// Entry VMs of a soak that lose their links to back ends.
#include "Soak/SoakCuts.h"

#include <algorithm>

#include "Soak/SoakPeers.h"
#include "Soak/SoakScene.h"

namespace parsleycove {

namespace {

// A VM takes its links for good again after some trials.
constexpr std::chrono::milliseconds kAftermathMs{ 1000 };

// Returns true if callers of the VM were harmed by something else.
bool
IsHarmed(const SoakLedger& aLedger,
         const std::string& aEntry,
         TimePoint aFrom,
         TimePoint aTo)
{
  return aLedger.Harms().Meets(aEntry, aFrom, aTo) ||
         aLedger.Stops().Meets(aEntry, aFrom, aTo);
}

} // namespace

void
SoakCuts::Cut(std::size_t aEntry, LinkFault aFault, bool aIsWhole)
{
  m_cuts[aEntry] = { aFault, aIsWhole, BootClock::now() };
}

void
SoakCuts::Heal(std::size_t aEntry)
{
  const auto found = m_cuts.find(aEntry);
  if (found == m_cuts.end()) {
    return;
  }
  const ActiveCut cut = found->second;
  m_cuts.erase(found);
  const TimePoint now = BootClock::now();
  m_ledger.LostLinks().Note(
    SoakScene::EntryName(aEntry), cut.m_from, now + kAftermathMs);
  if (cut.m_isWhole) {
    m_spans.push_back({ aEntry, cut.m_from, now });
  }
}

LinkFault
SoakCuts::FaultOf(std::size_t aBackend,
                  std::uint16_t aPort,
                  std::uint16_t aPeerPort)
{
  if (m_cuts.empty()) {
    return LinkFault::None;
  }
  const std::uint64_t socket = FindSocket(aPort, aPeerPort);
  for (const auto& [entry, cut] : m_cuts) {
    const bool isCut = cut.m_isWhole || aBackend % 2 == 0;
    if (isCut && HoldsSocket(m_fleet.Entry(entry).Id(), socket)) {
      return cut.m_fault;
    }
  }
  return LinkFault::None;
}

bool
SoakCuts::HasVmInTouch(const SoakLedger& aLedger,
                       TimePoint aFrom,
                       TimePoint aTo) const
{
  for (std::size_t vm = 0; vm < m_entries; ++vm) {
    const std::string name = SoakScene::EntryName(vm);
    if (!IsHarmed(aLedger, name, aFrom, aTo) &&
        !aLedger.LostLinks().Meets(name, aFrom, aTo)) {
      return true;
    }
  }
  return false;
}

SoakCuts::Counts
SoakCuts::Count(const SoakLedger& aLedger, Duration aSettling) const
{
  Counts counts;
  for (const auto& entry : aLedger.Attempts()) {
    const SoakAttempt& attempt = entry.second;
    if (attempt.m_end == AttemptEnd::Open || attempt.m_isExcused) {
      continue;
    }
    const auto touches = [&](const Span& aSpan) {
      return attempt.m_sentAt >= aSpan.m_from + aSettling &&
             attempt.m_endedAt <= aSpan.m_to;
    };
    const bool isInSpan = std::any_of(m_spans.begin(), m_spans.end(), touches);
    const TimePoint from = attempt.m_sentAt - aSettling;
    const bool isHarmed =
      IsHarmed(aLedger, attempt.m_entry, from, attempt.m_endedAt) ||
      aLedger.Harms().Meets(attempt.m_link, from, attempt.m_endedAt);
    if (!isInSpan || isHarmed ||
        !HasVmInTouch(aLedger, from, attempt.m_endedAt)) {
      continue;
    }
    const bool isServed = attempt.m_end == AttemptEnd::Served;
    const bool isOwn =
      std::any_of(m_spans.begin(), m_spans.end(), [&](const Span& aSpan) {
        return SoakScene::EntryName(aSpan.m_entry) == attempt.m_entry &&
               touches(aSpan);
      });
    const bool isOther =
      std::none_of(m_spans.begin(), m_spans.end(), [&](const Span& aSpan) {
        return SoakScene::EntryName(aSpan.m_entry) == attempt.m_entry &&
               aSpan.m_from <= attempt.m_endedAt &&
               aSpan.m_to >= attempt.m_sentAt;
      });
    counts.m_cut += isOwn ? 1 : 0;
    counts.m_cutServed += isOwn && isServed ? 1 : 0;
    counts.m_others += isOther ? 1 : 0;
    counts.m_othersServed += isOther && isServed ? 1 : 0;
  }
  return counts;
}

std::vector<std::string>
SoakCuts::FindBreaches(const SoakLedger& aLedger, Duration aSettling) const
{
  const Counts counts = Count(aLedger, aSettling);
  const int failed =
    counts.m_cut - counts.m_cutServed + counts.m_others - counts.m_othersServed;
  const bool isWorse = 3 * counts.m_cutServed * counts.m_others <
                       2 * counts.m_othersServed * counts.m_cut;
  if (isWorse && failed > 10 + (counts.m_cut + counts.m_others) / 50) {
    return { "callers of VMs without back ends: " +
             Describe(aLedger, aSettling) };
  }
  return {};
}

std::string
SoakCuts::Describe(const SoakLedger& aLedger, Duration aSettling) const
{
  const Counts counts = Count(aLedger, aSettling);
  return "cut off " + std::to_string(counts.m_cutServed) + " of " +
         std::to_string(counts.m_cut) + ", others " +
         std::to_string(counts.m_othersServed) + " of " +
         std::to_string(counts.m_others);
}

} // namespace parsleycove
