// A request in an admission queue.
#pragma once

#include <cstdint>

#include <boost/intrusive/set.hpp>

#include "Base/Clock.h"

namespace parsleycove {

class AccountQueue;

struct ByDeadline;
struct ByLatestStart;

// Invariant: linked into its account's order and the queue's order while it
// waits, into neither once it was started, refused or withdrawn.
struct WaitingRequest
  : boost::intrusive::set_base_hook<boost::intrusive::tag<ByDeadline>>
  , boost::intrusive::set_base_hook<boost::intrusive::tag<ByLatestStart>>
{
  std::uint64_t m_id = 0;
  AccountQueue* m_account = nullptr;
  std::size_t m_class = 0;
  double m_cost = 0;
  TimePoint m_deadline;
  // A start after this would most likely end late.
  TimePoint m_latestStart;
};

struct HasEarlierDeadline
{
  bool operator()(const WaitingRequest& aLeft,
                  const WaitingRequest& aRight) const
  {
    return aLeft.m_deadline < aRight.m_deadline;
  }
};

struct HasEarlierLatestStart
{
  bool operator()(const WaitingRequest& aLeft,
                  const WaitingRequest& aRight) const
  {
    return aLeft.m_latestStart < aRight.m_latestStart;
  }
};

using RequestsByDeadline = boost::intrusive::multiset<
  WaitingRequest,
  boost::intrusive::base_hook<
    boost::intrusive::set_base_hook<boost::intrusive::tag<ByDeadline>>>,
  boost::intrusive::compare<HasEarlierDeadline>>;

using RequestsByLatestStart = boost::intrusive::multiset<
  WaitingRequest,
  boost::intrusive::base_hook<
    boost::intrusive::set_base_hook<boost::intrusive::tag<ByLatestStart>>>,
  boost::intrusive::compare<HasEarlierLatestStart>>;

} // namespace parsleycove
