// The waiting requests of one level of urgency, in fair turns of the client
// accounts.
//
// Load pattern: one account's burst, or its callers' retries, wait beside the
// few requests of the other accounts.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "Admission/AccountTurns.h"

namespace parsleycove {

// An account that waits again after a pause starts at the level's virtual time,
// so that idle time earns no credit. Accounts are forgotten when nobody waits.
class LevelQueue
{
public:
  // Links the ticket and returns its account.
  AccountTurns& Add(PathTicket& aTicket);
  void Remove(PathTicket& aTicket, AccountTurns& aAccount);
  // Charges the start of a request that waited to its account.
  void Charge(const std::string& aAccount, double aTokens);

  bool IsEmpty() const { return m_turns.empty(); }
  std::size_t Waiting() const { return m_count; }
  double WaitingTokens() const { return m_tokens; }
  // Returns the ticket whose turn is next. At least one must wait.
  PathTicket& Next() { return *m_turns.begin()->m_waiting.begin(); }
  // Returns the latest ticket of the account that waits for the most tokens. At
  // least one must wait.
  PathTicket& Last();

  // Tokens that the level may start before more urgent ones, see PathQueue.
  double m_floorCredit = 0;

private:
  std::unordered_map<std::string, AccountTurns> m_accounts;
  AccountsByTurn m_turns;
  std::size_t m_count = 0;
  double m_tokens = 0;
  double m_virtualTime = 0;
};

} // namespace parsleycove
