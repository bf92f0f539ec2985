// Results of the action ledger's steps.
#include "State/LedgerResults.h"

#include <memory>
#include <utility>

#include "State/StateNames.h"

namespace parsleycove {

using state::ResultCode;

state::CommandResultT
RefuseAction(ResultCode aCode, std::string aText)
{
  state::CommandResultT result;
  result.code = aCode;
  result.text = std::move(aText);
  return result;
}

// Tells what the ledger holds.
state::CommandResultT
ReportEntry(const ActionEntry& aEntry, ResultCode aCode, std::string aText)
{
  const state::ActionRecordT& record = aEntry.m_record;
  state::CommandResultT result = RefuseAction(aCode, std::move(aText));
  result.attempt = record.attempt;
  result.action_state = record.state;
  result.action_gateway = record.gateway;
  if (record.answer) {
    result.answer = std::make_unique<state::StoredAnswerT>(*record.answer);
  }
  return result;
}

state::CommandResultT
ReportToOwner(const ActionEntry& aEntry)
{
  state::CommandResultT result = ReportEntry(aEntry);
  result.owner = true;
  return result;
}

state::CommandResultT
RefuseMissingKey(const std::string& aKey)
{
  return RefuseAction(ResultCode::NotFound,
                      "key '" + aKey +
                        "': not in the ledger, expected a reserved "
                        "key");
}

state::CommandResultT
RefuseStaleAttempt(const ActionEntry& aEntry, std::uint64_t aAttempt)
{
  const state::ActionRecordT& record = aEntry.m_record;
  std::string text = "attempt is " + std::to_string(aAttempt) +
                     ", the key is at attempt " +
                     std::to_string(record.attempt) + " and " +
                     std::string(NameOf(kActionStateNames, record.state));
  if (!record.reason.empty()) {
    text += " (" + record.reason + ")";
  }
  return ReportEntry(aEntry, ResultCode::StaleAttempt, std::move(text));
}

} // namespace parsleycove
