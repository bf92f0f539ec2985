// The requests of one service that wait at this VM for a path.
#include "Admission/PathQueue.h"

#include <algorithm>
#include <utility>

namespace parsleycove {

PathTicket::~PathTicket()
{
  if (m_queue != nullptr) {
    m_wake = nullptr;
    m_queue->Leave(*this);
  }
}

PathQueue::PathQueue(PathQueueSettings aSettings)
  : m_settings(aSettings)
{
}

PathQueue::~PathQueue()
{
  while (!m_byStart.empty()) {
    Unlink(*m_byStart.begin(), TicketState::Displaced);
  }
}

void
PathQueue::RecordArrival(TimePoint aNow,
                         std::size_t aLevel,
                         std::uint32_t aTokens)
{
  m_demand.Record(aNow, aLevel, aTokens);
}

bool
PathQueue::MayStartAtOnce(TimePoint aNow, std::size_t aLevel)
{
  EndOverdue(aNow);
  for (std::size_t i = 0; i < m_levels.size() && i <= aLevel; ++i) {
    if (!m_levels[i].IsEmpty()) {
      return false;
    }
  }
  return DueFloor() == nullptr;
}

void
PathQueue::Join(TimePoint aNow, PathTicket& aTicket, PathWait aWait)
{
  Leave(aTicket);
  aTicket.m_wait = std::move(aWait);
  // A request without tokens would have its floor paid at once.
  aTicket.m_wait.m_tokens = std::max(aTicket.m_wait.m_tokens, 1U);
  if (aTicket.m_wait.m_latestStart < aNow) {
    aTicket.m_state = TicketState::Overdue;
    return;
  }
  EndOverdue(aNow);
  aTicket.m_queue = this;
  aTicket.m_account = &Level(aTicket.m_wait.m_level).Add(aTicket);
  aTicket.m_state = TicketState::Waiting;
  m_byStart.insert(aTicket);
  if (Waiting() > m_settings.m_maxWaiting) {
    const auto last =
      std::find_if(m_levels.rbegin(),
                   m_levels.rend(),
                   [](const LevelQueue& aLevel) { return !aLevel.IsEmpty(); });
    Unlink(last->Last(), TicketState::Displaced);
  }
}

bool
PathQueue::MayTry(TimePoint aNow, const PathTicket& aTicket)
{
  EndOverdue(aNow);
  return Next() == &aTicket;
}

void
PathQueue::Start(TimePoint aNow, PathTicket& aTicket)
{
  if (aTicket.m_state != TicketState::Waiting) {
    RecordStart(aNow, aTicket.m_wait.m_level, aTicket.m_wait.m_tokens);
    return;
  }
  const PathWait& wait = aTicket.m_wait;
  LevelQueue& level = Level(wait.m_level);
  AddFloorCredit(aNow, wait.m_tokens);
  level.m_floorCredit = std::max(0.0, level.m_floorCredit - wait.m_tokens);
  level.Charge(wait.m_account, wait.m_tokens);
  Unlink(aTicket, TicketState::Idle);
  WakeNext();
}

void
PathQueue::RecordStart(TimePoint aNow,
                       std::size_t aLevel,
                       std::uint32_t aTokens)
{
  AddFloorCredit(aNow, aTokens);
  LevelQueue& level = Level(aLevel);
  level.m_floorCredit = std::max(0.0, level.m_floorCredit - aTokens);
}

void
PathQueue::Leave(PathTicket& aTicket)
{
  if (aTicket.m_state == TicketState::Waiting) {
    Unlink(aTicket, TicketState::Idle);
    WakeNext();
  }
}

double
PathQueue::ReservedAgainst(TimePoint aNow, std::size_t aLevel)
{
  const double peak = m_demand.UrgentPeak(aNow, aLevel);
  // A stream holds its room for about a second, so the tokens of the last
  // second stand for the room in use.
  const double all = m_demand.AllTokens(aNow);
  return all > 0 ? std::min(peak / all, m_settings.m_maxReserved) : 0;
}

bool
PathQueue::IsFloorTurn(TimePoint aNow, const PathTicket& aTicket)
{
  EndOverdue(aNow);
  LevelQueue* due = DueFloor();
  return due != nullptr && &due->Next() == &aTicket;
}

bool
PathQueue::HasMoreUrgent(TimePoint aNow, std::size_t aLevel)
{
  return WaitingBefore(aLevel) != 0 || m_demand.UrgentPeak(aNow, aLevel) > 0;
}

std::size_t
PathQueue::WaitingAt(std::size_t aLevel) const
{
  return aLevel < m_levels.size() ? m_levels[aLevel].Waiting() : 0;
}

std::size_t
PathQueue::WaitingBefore(std::size_t aLevel) const
{
  std::size_t sum = 0;
  for (std::size_t i = 0; i < aLevel; ++i) {
    sum += WaitingAt(i);
  }
  return sum;
}

LevelQueue&
PathQueue::Level(std::size_t aLevel)
{
  while (m_levels.size() <= aLevel) {
    m_levels.emplace_back();
  }
  return m_levels[aLevel];
}

void
PathQueue::EndOverdue(TimePoint aNow)
{
  while (!m_byStart.empty() && m_byStart.begin()->Wait().m_latestStart < aNow) {
    Unlink(*m_byStart.begin(), TicketState::Overdue);
  }
}

void
PathQueue::Unlink(PathTicket& aTicket, TicketState aState)
{
  m_byStart.erase(m_byStart.iterator_to(aTicket));
  m_levels[aTicket.m_wait.m_level].Remove(aTicket, *aTicket.m_account);
  aTicket.m_account = nullptr;
  aTicket.m_queue = nullptr;
  aTicket.m_state = aState;
  if (aState != TicketState::Idle && aTicket.m_wake) {
    aTicket.m_wake();
  }
}

PathTicket*
PathQueue::Next()
{
  if (LevelQueue* due = DueFloor()) {
    return &due->Next();
  }
  for (LevelQueue& level : m_levels) {
    if (!level.IsEmpty()) {
      return &level.Next();
    }
  }
  return nullptr;
}

LevelQueue*
PathQueue::DueFloor()
{
  for (LevelQueue& level : m_levels) {
    if (!level.IsEmpty() &&
        level.m_floorCredit >= level.Next().Wait().m_tokens) {
      return &level;
    }
  }
  return nullptr;
}

void
PathQueue::AddFloorCredit(TimePoint aNow, double aTokens)
{
  const auto demandOf = [&](std::size_t aLevel) {
    return std::max(m_demand.Tokens(aNow, aLevel),
                    m_levels[aLevel].WaitingTokens());
  };
  double all = 0;
  for (std::size_t i = 0; i < m_levels.size(); ++i) {
    all += demandOf(i);
  }
  if (all <= 0) {
    return;
  }
  for (std::size_t i = 0; i < m_levels.size(); ++i) {
    if (!m_levels[i].IsEmpty()) {
      m_levels[i].m_floorCredit +=
        aTokens * m_settings.m_floor * demandOf(i) / all;
    }
  }
}

void
PathQueue::WakeNext()
{
  if (PathTicket* next = Next(); next != nullptr && next->m_wake) {
    next->m_wake();
  }
}

} // namespace parsleycove
