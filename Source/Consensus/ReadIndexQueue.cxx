// ReadIndex requests that wait for confirmation, on the leader and on a
// follower.
#include "Consensus/ReadIndexQueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace parsleycove {

namespace {

// Removes the reads that match from the list and returns them in order.
template<typename Read, typename Predicate>
std::vector<Read>
TakeIf(std::vector<Read>& aReads, Predicate aPredicate)
{
  std::vector<Read> taken;
  std::copy_if(
    aReads.begin(), aReads.end(), std::back_inserter(taken), aPredicate);
  std::erase_if(aReads, aPredicate);
  return taken;
}

} // namespace

TimePoint
ReadIndexQueue::OldestRequestedAt() const
{
  TimePoint oldest = TimePoint::max();
  if (!m_waiting.empty()) {
    oldest = m_waiting.front().m_requestedAt;
  }
  if (!m_forwarded.empty()) {
    oldest = std::min(oldest, m_forwarded.front().m_requestedAt);
  }
  return oldest;
}

bool
ReadIndexQueue::StartProbe(std::uint64_t aProbe)
{
  bool started = false;
  for (WaitingRead& read : m_waiting) {
    if (read.m_probe == 0) {
      read.m_probe = aProbe;
      started = true;
    }
  }
  return started;
}

std::vector<WaitingRead>
ReadIndexQueue::TakeConfirmed(std::uint64_t aQuorumProbe)
{
  return TakeIf(m_waiting, [=](const WaitingRead& aRead) {
    return aRead.m_probe != 0 && aRead.m_probe <= aQuorumProbe;
  });
}

std::vector<WaitingRead>
ReadIndexQueue::TakeWaitingUntil(TimePoint aRequestedUntil)
{
  return TakeIf(m_waiting, [=](const WaitingRead& aRead) {
    return aRead.m_requestedAt <= aRequestedUntil;
  });
}

std::uint64_t
ReadIndexQueue::Forward(std::uint64_t aId, TimePoint aNow)
{
  const std::uint64_t wireId = m_nextWireId++;
  m_forwarded.push_back({ wireId, aId, aNow });
  return wireId;
}

std::optional<ForwardedRead>
ReadIndexQueue::TakeForwarded(std::uint64_t aWireId)
{
  const auto taken = TakeIf(m_forwarded, [=](const ForwardedRead& aRead) {
    return aRead.m_wireId == aWireId;
  });
  return taken.empty() ? std::nullopt : std::optional(taken.front());
}

std::vector<ForwardedRead>
ReadIndexQueue::TakeForwardedUntil(TimePoint aRequestedUntil)
{
  return TakeIf(m_forwarded, [=](const ForwardedRead& aRead) {
    return aRead.m_requestedAt <= aRequestedUntil;
  });
}

} // namespace parsleycove
