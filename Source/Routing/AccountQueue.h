// What one client account has had and is waiting for.
#pragma once

#include <boost/intrusive/set.hpp>

#include "Routing/WaitingRequest.h"

namespace parsleycove {

// Invariant: linked into the queue's order of accounts exactly while
// m_waiting is not empty; m_virtualTime does not change while linked.
class AccountQueue : public boost::intrusive::set_base_hook<>
{
public:
  // Cost started so far, on the clock that all accounts share.
  double m_virtualTime = 0;
  double m_waitingCost = 0;
  RequestsByDeadline m_waiting;
};

struct HasLowerVirtualTime
{
  bool operator()(const AccountQueue& aLeft, const AccountQueue& aRight) const
  {
    return aLeft.m_virtualTime < aRight.m_virtualTime;
  }
};

using AccountsByVirtualTime =
  boost::intrusive::multiset<AccountQueue,
                             boost::intrusive::compare<HasLowerVirtualTime>>;

} // namespace parsleycove
