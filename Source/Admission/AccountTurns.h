// The waiting requests of one client account at one level of urgency, and its
// virtual time for start-time fair queueing.
#pragma once

#include <string>

#include <boost/intrusive/set.hpp>

#include "Admission/PathTicket.h"

namespace parsleycove {

// Invariant: linked into the level's order of turns exactly while m_waiting is
// not empty; m_virtualTime does not change while linked.
class AccountTurns : public boost::intrusive::set_base_hook<>
{
public:
  std::string m_name;
  // Tokens started so far, on the virtual clock that the level's accounts
  // share.
  double m_virtualTime = 0;
  double m_waitingTokens = 0;
  TicketsOfAccount m_waiting;
};

struct HasEarlierTurn
{
  bool operator()(const AccountTurns& aLeft, const AccountTurns& aRight) const
  {
    return aLeft.m_virtualTime < aRight.m_virtualTime;
  }
};

using AccountsByTurn =
  boost::intrusive::multiset<AccountTurns,
                             boost::intrusive::compare<HasEarlierTurn>>;

} // namespace parsleycove
