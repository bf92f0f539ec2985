// JSON form of ledger entries, for callers and operators.
#include "Gateway/ActionJson.h"

#include <array>

#include <boost/json.hpp>

#include "Base/EnumTable.h"

namespace parsleycove {

namespace {

constexpr std::array<EnumName<state::ActionState>, 5> kActionStateNames{ {
  { state::ActionState::Reserved, "reserved" },
  { state::ActionState::Dispatched, "dispatched" },
  { state::ActionState::Done, "done" },
  { state::ActionState::NotRun, "not_run" },
  { state::ActionState::InDoubt, "in_doubt" },
} };

std::string_view
OutcomeOf(state::ActionState aState)
{
  switch (aState) {
    case state::ActionState::Done:
      return "done";
    case state::ActionState::NotRun:
      return "not_run";
    default:
      return "unknown";
  }
}

} // namespace

std::string
PrintAction(const state::ActionRecordT& aRecord)
{
  boost::json::object action{ { "account", aRecord.account },
                              { "key", aRecord.key },
                              { "state",
                                NameOf(kActionStateNames, aRecord.state) },
                              { "outcome", OutcomeOf(aRecord.state) },
                              { "attempt", aRecord.attempt },
                              { "gateway", aRecord.gateway },
                              { "reason", aRecord.reason } };
  if (aRecord.answer) {
    action["answer"] =
      boost::json::object{ { "status", aRecord.answer->status },
                           { "content_type", aRecord.answer->content_type },
                           { "body", aRecord.answer->body } };
  }
  return boost::json::serialize(action);
}

} // namespace parsleycove
