// The waiting requests of one level of urgency, in fair turns of the client
// accounts.
#include "Admission/LevelQueue.h"

#include <algorithm>

namespace parsleycove {

AccountTurns&
LevelQueue::Add(PathTicket& aTicket)
{
  const PathWait& wait = aTicket.Wait();
  AccountTurns& account = m_accounts[wait.m_account];
  if (account.m_waiting.empty()) {
    account.m_name = wait.m_account;
    account.m_virtualTime = std::max(account.m_virtualTime, m_virtualTime);
    m_turns.insert(account);
  }
  account.m_waiting.insert(aTicket);
  account.m_waitingTokens += wait.m_tokens;
  m_tokens += wait.m_tokens;
  ++m_count;
  return account;
}

void
LevelQueue::Remove(PathTicket& aTicket, AccountTurns& aAccount)
{
  const double tokens = aTicket.Wait().m_tokens;
  aAccount.m_waiting.erase(aAccount.m_waiting.iterator_to(aTicket));
  aAccount.m_waitingTokens -= tokens;
  m_tokens -= tokens;
  --m_count;
  if (aAccount.m_waiting.empty()) {
    m_turns.erase(m_turns.iterator_to(aAccount));
  }
  if (m_turns.empty()) {
    m_accounts.clear();
    m_virtualTime = 0;
    m_tokens = 0;
    m_floorCredit = 0;
  }
}

void
LevelQueue::Charge(const std::string& aAccount, double aTokens)
{
  const auto found = m_accounts.find(aAccount);
  if (found == m_accounts.end()) {
    return;
  }
  AccountTurns& account = found->second;
  const bool isLinked = !account.m_waiting.empty();
  if (isLinked) {
    m_turns.erase(m_turns.iterator_to(account));
  }
  m_virtualTime = std::max(m_virtualTime, account.m_virtualTime);
  account.m_virtualTime += aTokens;
  if (isLinked) {
    m_turns.insert(account);
  }
}

PathTicket&
LevelQueue::Last()
{
  const auto most =
    std::max_element(m_turns.begin(),
                     m_turns.end(),
                     [](const AccountTurns& aLeft, const AccountTurns& aRight) {
                       return aLeft.m_waitingTokens < aRight.m_waitingTokens;
                     });
  return *most->m_waiting.rbegin();
}

} // namespace parsleycove
