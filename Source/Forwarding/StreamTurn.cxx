// Lets the new streams of a service with several levels of urgency take turns
// at a path.
#include "Forwarding/StreamForwarder.h"

#include <cmath>

namespace parsleycove {

bool
StreamForwarder::TakesTurns() const
{
  const bool wasSent =
    m_hasStarted || m_hasSentHeader ||
    m_request.m_headers.m_lastEventId.has_value() ||
    (m_request.m_passedOn && m_request.m_passedOn->m_attempts != 0);
  return m_request.m_level && !wasSent && !MustPassOn(m_request);
}

bool
StreamForwarder::IsItsTurn()
{
  if (!TakesTurns()) {
    return true;
  }
  const TimePoint now = BootClock::now();
  PathQueue& queue = m_serviceState.m_queue;
  return m_ticket.State() == TicketState::Idle
           ? queue.MayStartAtOnce(now, *m_request.m_level)
           : queue.MayTry(now, m_ticket);
}

bool
StreamForwarder::JoinQueue(const PathChoice& aChoice)
{
  PathQueue& queue = m_serviceState.m_queue;
  if (!TakesTurns() || !aChoice.m_isFull) {
    queue.Leave(m_ticket);
    return true;
  }
  if (m_ticket.State() == TicketState::Idle) {
    ++m_services.m_metrics.QueuedAt(*m_request.m_level);
    queue.Join(BootClock::now(),
               m_ticket,
               { *m_request.m_level,
                 m_request.m_account ? m_request.m_account->m_name : "",
                 m_pathWaitUntil,
                 m_request.m_expectedTokens });
  }
  return m_ticket.State() == TicketState::Waiting;
}

void
StreamForwarder::RecordStart()
{
  PathQueue& queue = m_serviceState.m_queue;
  if (!TakesTurns()) {
    // This VM may have lost its links to the endpoints during the wait.
    queue.Leave(m_ticket);
    return;
  }
  const TimePoint now = BootClock::now();
  if (m_ticket.State() == TicketState::Waiting) {
    queue.Start(now, m_ticket);
  } else {
    queue.RecordStart(now, *m_request.m_level, m_request.m_expectedTokens);
  }
  m_hasStarted = true;
  ++m_services.m_metrics.StartedAt(*m_request.m_level);
}

RefusalCause
StreamForwarder::NameGaveWay(RefusalCause aCause)
{
  // A VM of an earlier release does not know the cause.
  if (aCause != RefusalCause::PathsFull || m_request.m_passedOn ||
      !TakesTurns()) {
    return aCause;
  }
  const TimePoint now = BootClock::now();
  const std::size_t level = *m_request.m_level;
  PathQueue& queue = m_serviceState.m_queue;
  if (!queue.HasMoreUrgent(now, level)) {
    return aCause;
  }
  constexpr double kPercent = 100;
  m_request.m_detail =
    std::to_string(queue.WaitingBefore(level)) +
    " more urgent requests wait, " +
    std::to_string(std::lround(kPercent * queue.ReservedAgainst(now, level))) +
    "% of the room is kept for such";
  return RefusalCause::GaveWay;
}

} // namespace parsleycove
