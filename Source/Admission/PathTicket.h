// The place of one request in the queue for a path.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include <boost/intrusive/set.hpp>

#include "Base/Clock.h"

namespace parsleycove {

class AccountTurns;
class PathQueue;

enum class TicketState
{
  // In no queue.
  Idle,
  Waiting,
  // The queue was full and kept more urgent work, or earlier turns.
  Displaced,
  // The latest start has passed.
  Overdue,
};

// The request of a ticket.
struct PathWait
{
  // 0 is the most urgent.
  std::size_t m_level = 0;
  // Name of the client account; empty if there is none.
  std::string m_account;
  // The request is refused after this.
  TimePoint m_latestStart;
  // Tokens of the prompt and the expected answer.
  std::uint32_t m_tokens = 0;
};

struct ByStartInAccount;
struct ByStartInQueue;

// Leaves the queue when it is destroyed.
//
// Invariant: linked into its account and into the queue exactly while the state
// is Waiting; then the queue outlives it.
class PathTicket
  : public boost::intrusive::set_base_hook<
      boost::intrusive::tag<ByStartInAccount>>
  , public boost::intrusive::set_base_hook<
      boost::intrusive::tag<ByStartInQueue>>
{
public:
  PathTicket() = default;
  ~PathTicket();
  PathTicket(const PathTicket&) = delete;
  PathTicket& operator=(const PathTicket&) = delete;

  TicketState State() const { return m_state; }
  const PathWait& Wait() const { return m_wait; }
  // Sets the function that is called when the ticket's turn may have come, and
  // when the queue has ended its wait. It must not call the queue.
  void SetWake(std::function<void()> aWake) { m_wake = std::move(aWake); }

private:
  friend class PathQueue;

  PathQueue* m_queue = nullptr;
  AccountTurns* m_account = nullptr;
  TicketState m_state = TicketState::Idle;
  PathWait m_wait;
  std::function<void()> m_wake;
};

struct HasEarlierStart
{
  bool operator()(const PathTicket& aLeft, const PathTicket& aRight) const
  {
    return aLeft.Wait().m_latestStart < aRight.Wait().m_latestStart;
  }
};

using TicketsOfAccount = boost::intrusive::multiset<
  PathTicket,
  boost::intrusive::base_hook<
    boost::intrusive::set_base_hook<boost::intrusive::tag<ByStartInAccount>>>,
  boost::intrusive::compare<HasEarlierStart>>;

using TicketsOfQueue = boost::intrusive::multiset<
  PathTicket,
  boost::intrusive::base_hook<
    boost::intrusive::set_base_hook<boost::intrusive::tag<ByStartInQueue>>>,
  boost::intrusive::compare<HasEarlierStart>>;

} // namespace parsleycove
