// Entry VMs of a soak that lose their links to back ends.
#include "Soak/SoakCuts.h"

#include <algorithm>

#include "Soak/SoakPeers.h"
#include "Soak/SoakScene.h"

namespace parsleycove {

void
SoakCuts::Cut(std::size_t aEntry, LinkFault aFault, bool aIsWhole)
{
  m_cuts[aEntry] = { aFault, aIsWhole };
  // Where open connections live on they may serve.
  if (aIsWhole) {
    m_wholeSince[aEntry] = BootClock::now();
  }
}

void
SoakCuts::Heal(std::size_t aEntry)
{
  m_cuts.erase(aEntry);
  if (const auto since = m_wholeSince.find(aEntry);
      since != m_wholeSince.end()) {
    m_spans.push_back({ aEntry, since->second, BootClock::now() });
    m_wholeSince.erase(since);
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

SoakCuts::Counts
SoakCuts::Count(const SoakLedger& aLedger, Duration aSettling) const
{
  Counts counts;
  for (const auto& [id, attempt] : aLedger.Attempts()) {
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
      aLedger.Harms().Meets(attempt.m_entry, from, attempt.m_endedAt) ||
      aLedger.Harms().Meets(attempt.m_link, from, attempt.m_endedAt) ||
      aLedger.Stops().Meets(attempt.m_entry, from, attempt.m_endedAt);
    if (!isInSpan || isHarmed) {
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
