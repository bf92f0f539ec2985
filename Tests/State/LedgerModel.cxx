// A model of two gateways that use the ledger, for enumerating interleavings.
#include "State/LedgerModel.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

#include "State/ActionLedger.h"
#include "State/CommandCodec.h"
#include "State/Commands.h"

namespace parsleycove::test {

namespace {

using state::ActionState;
using state::ResultCode;

constexpr std::uint64_t kNow = 1000;

state::CommandResultT
ApplyToLedger(ActionLedger& aLedger, const state::CommandT& aCommand)
{
  const auto& body = aCommand.body;
  switch (body.type) {
    case state::CommandBody::ReserveAction:
      return aLedger.Reserve(*body.AsReserveAction(), kNow);
    case state::CommandBody::DispatchAction:
      return aLedger.Dispatch(*body.AsDispatchAction(), kNow);
    case state::CommandBody::CompleteAction:
      return aLedger.Complete(*body.AsCompleteAction(), kNow);
    case state::CommandBody::AbandonAction:
      return aLedger.Abandon(*body.AsAbandonAction(), kNow);
    case state::CommandBody::DoubtAction:
      return aLedger.Doubt(*body.AsDoubtAction(), kNow);
    case state::CommandBody::ResolveAction:
      return aLedger.Resolve(*body.AsResolveAction(), kNow);
    default:
      return aLedger.LoseGateway(*body.AsGatewayGone(), kNow);
  }
}

state::CommandResultT
Commit(ModelWorld& aWorld, const state::CommandT& aCommand)
{
  ActionLedger ledger{ StateLimits() };
  if (aWorld.m_record) {
    ledger.Restore(*aWorld.m_record);
  }
  state::CommandResultT result = ApplyToLedger(ledger, aCommand);
  if (const auto* record = ledger.Find("acme", "k")) {
    aWorld.m_record = *record;
  }
  return result;
}

using Reaction =
  std::function<void(ModelWorld&, ModelGateway&, const state::CommandResultT&)>;

// Lists the outcomes of the moves of one state.
class MoveLister
{
public:
  explicit MoveLister(const ModelWorld& aWorld)
    : m_world(aWorld)
  {
  }

  std::vector<ModelWorld> List()
  {
    for (std::size_t place = 0; place < m_world.m_gateways.size(); ++place) {
      ListGatewayMoves(place);
      ListFailures(place);
    }
    ListServiceMoves();
    ListLateProposals();
    ListResolutions();
    return std::move(m_next);
  }

private:
  ModelWorld& Add(const std::string& aMove)
  {
    m_next.push_back(m_world);
    ModelWorld& next = m_next.back();
    ++next.m_depth;
    next.m_trace += aMove + "; ";
    return next;
  }

  // The proposal commits; the gateway learns its result, or does not and will
  // propose it again.
  template<typename Body>
  void Propose(std::size_t aPlace,
               const std::string& aName,
               Body aBody,
               const Reaction& aReaction)
  {
    const state::CommandT command = MakeCommand(std::move(aBody));
    const std::string name = aName + " " + std::to_string(aPlace) + "/" +
                             std::to_string(At(aPlace).m_attempt);
    for (const bool lost : { false, true }) {
      if (lost && m_world.m_lostLeft == 0) {
        continue;
      }
      ModelWorld& next = Add(name + (lost ? " lost" : ""));
      const auto result = Commit(next, command);
      Remember(next, command, name);
      if (lost) {
        --next.m_lostLeft;
      } else {
        aReaction(next, next.m_gateways[aPlace], result);
      }
    }
  }

  static void Remember(ModelWorld& aNext,
                       const state::CommandT& aCommand,
                       const std::string& aName)
  {
    const bool known =
      std::any_of(aNext.m_late.begin(),
                  aNext.m_late.end(),
                  [&](const auto& aLate) { return aLate.m_name == aName; });
    if (!known && aNext.m_lateLeft > 0) {
      aNext.m_late.push_back({ aCommand, aName });
    }
  }

  const ModelGateway& At(std::size_t aPlace) const
  {
    return m_world.m_gateways[aPlace];
  }

  static void TakeReserved(ModelWorld& aWorld,
                           ModelGateway& aGateway,
                           const state::CommandResultT& aResult)
  {
    aGateway.m_attempt = aResult.attempt;
    aGateway.m_step = aResult.owner ? GatewayStep::Owned : GatewayStep::Ended;
    if (!aResult.owner && aResult.action_state == ActionState::Done) {
      TellAnswer(aWorld, aResult);
    }
  }

  static void TellAnswer(ModelWorld& aWorld,
                         const state::CommandResultT& aResult)
  {
    const std::string answer = aResult.answer ? aResult.answer->body : "none";
    if (aWorld.m_toldAnswer.empty()) {
      aWorld.m_toldAnswer = answer;
    } else if (aWorld.m_toldAnswer != answer) {
      aWorld.m_toldAnswer += " then " + answer;
    }
  }

  static void TakeAbandoned(ModelWorld& aWorld,
                            ModelGateway& aGateway,
                            const state::CommandResultT& aResult)
  {
    const bool accepted =
      aResult.code == ResultCode::Ok || aResult.code == ResultCode::Duplicate;
    if (accepted) {
      aWorld.m_toldNotRun[aGateway.m_attempt] = true;
    }
    aGateway.m_step = GatewayStep::Ended;
  }

  static void TakeCompleted(ModelWorld& aWorld,
                            ModelGateway& aGateway,
                            const state::CommandResultT& aResult)
  {
    if (aResult.code == ResultCode::Ok ||
        aResult.code == ResultCode::Duplicate) {
      TellAnswer(aWorld, aResult);
    }
    aGateway.m_step = GatewayStep::Ended;
  }

  void Abandon(std::size_t aPlace, bool aNotSent, bool aServiceWord)
  {
    Propose(aPlace,
            "abandon",
            MakeAbandon(At(aPlace).m_attempt, aNotSent, aServiceWord),
            TakeAbandoned);
  }

  void ListGatewayMoves(std::size_t aPlace)
  {
    const ModelGateway& gateway = At(aPlace);
    const std::uint64_t attempt = gateway.m_attempt;
    switch (gateway.m_step) {
      case GatewayStep::Start:
      case GatewayStep::Reserving:
        Propose(aPlace,
                "reserve",
                MakeReserve(gateway.m_vm, gateway.m_epoch),
                TakeReserved);
        break;
      case GatewayStep::Owned:
        Propose(aPlace,
                "dispatch",
                MakeDispatch(attempt),
                [](auto&, auto& aGateway, const auto& aResult) {
                  aGateway.m_step = aResult.code == ResultCode::Ok
                                      ? GatewayStep::Cleared
                                      : GatewayStep::Ended;
                });
        Abandon(aPlace, false, false);
        break;
      case GatewayStep::Cleared: {
        ModelWorld& sent = Add("send " + std::to_string(aPlace));
        sent.m_gateways[aPlace].m_step = GatewayStep::Sent;
        sent.m_calls[attempt] = CallState::UnderWay;
        Add("connect fails").m_gateways[aPlace].m_step = GatewayStep::NotSent;
        break;
      }
      case GatewayStep::NotSent:
        Abandon(aPlace, true, false);
        break;
      case GatewayStep::Sent:
        ListReplyMoves(aPlace);
        Propose(aPlace,
                "doubt",
                MakeDoubt(attempt),
                [](auto&, auto& aGateway, const auto&) {
                  aGateway.m_step = GatewayStep::GivenUp;
                });
        break;
      case GatewayStep::GivenUp:
        ListReplyMoves(aPlace);
        break;
      case GatewayStep::Ended:
      case GatewayStep::Crashed:
        break;
    }
  }

  void ListReplyMoves(std::size_t aPlace)
  {
    const std::uint64_t attempt = At(aPlace).m_attempt;
    if (m_world.m_calls[attempt] == CallState::Ran) {
      Propose(aPlace,
              "complete",
              MakeComplete(attempt, "ran by " + std::to_string(attempt)),
              TakeCompleted);
      // Without the reply, a plain give-up must not become "not run".
      Abandon(aPlace, false, false);
    }
    if (m_world.m_calls[attempt] == CallState::Refused) {
      Abandon(aPlace, false, true);
    }
  }

  void ListFailures(std::size_t aPlace)
  {
    const ModelGateway& gateway = At(aPlace);
    const bool active = gateway.m_step != GatewayStep::Start &&
                        gateway.m_step != GatewayStep::Ended &&
                        gateway.m_step != GatewayStep::Crashed;
    if (active) {
      Add("crash " + std::to_string(aPlace)).m_gateways[aPlace].m_step =
        GatewayStep::Crashed;
    }
    // Also for one that is only frozen.
    if (!gateway.m_gone && gateway.m_step != GatewayStep::Start) {
      ModelWorld& next = Add("gone " + std::to_string(aPlace));
      next.m_gateways[aPlace].m_gone = true;
      Commit(next, MakeCommand(MakeGone(gateway.m_vm, gateway.m_epoch)));
    }
  }

  void ListServiceMoves()
  {
    for (std::size_t attempt = 0; attempt < ModelWorld::kMaxAttempts;
         ++attempt) {
      if (m_world.m_calls[attempt] != CallState::UnderWay) {
        continue;
      }
      ModelWorld& ran = Add("run " + std::to_string(attempt));
      ran.m_calls[attempt] = CallState::Ran;
      ++ran.m_runs[attempt];
      Add("refuse " + std::to_string(attempt)).m_calls[attempt] =
        CallState::Refused;
    }
  }

  void ListLateProposals()
  {
    if (m_world.m_lateLeft == 0) {
      return;
    }
    for (const LateProposal& late : m_world.m_late) {
      ModelWorld& next = Add("late " + late.m_name);
      --next.m_lateLeft;
      next.m_late.clear();
      Commit(next, late.m_command);
    }
  }

  // An operator who has seen that the gateway is dead and what the service's
  // records say.
  void ListResolutions()
  {
    if (!m_world.m_record || m_world.m_record->state != ActionState::InDoubt) {
      return;
    }
    const std::uint64_t attempt = m_world.m_record->attempt;
    const bool dead =
      std::all_of(m_world.m_gateways.begin(),
                  m_world.m_gateways.end(),
                  [&](const ModelGateway& aGateway) {
                    return aGateway.m_attempt != attempt ||
                           aGateway.m_step == GatewayStep::Crashed;
                  });
    if (!dead || m_world.m_calls[attempt] == CallState::UnderWay) {
      return;
    }
    const bool ran = m_world.m_runs[attempt] > 0;
    ModelWorld& next = Add("resolve");
    Commit(next, MakeCommand(MakeResolve(ran, "olga", attempt)));
    next.m_toldNotRun[attempt] = next.m_toldNotRun[attempt] || !ran;
  }

  const ModelWorld& m_world;
  std::vector<ModelWorld> m_next;
};

} // namespace

std::string
ModelWorld::Name() const
{
  std::string name;
  if (m_record) {
    name += std::to_string(static_cast<int>(m_record->state)) + "," +
            std::to_string(m_record->attempt) + "," + m_record->gateway +
            std::to_string(m_record->gateway_epoch) +
            (m_record->answer ? m_record->answer->body : "");
  }
  for (const ModelGateway& gateway : m_gateways) {
    name += "|" + std::to_string(static_cast<int>(gateway.m_step)) + "," +
            std::to_string(gateway.m_attempt) + (gateway.m_gone ? "g" : "");
  }
  for (std::size_t attempt = 0; attempt < kMaxAttempts; ++attempt) {
    name += "|" + std::to_string(static_cast<int>(m_calls[attempt])) +
            std::to_string(m_runs[attempt]) +
            (m_toldNotRun[attempt] ? "n" : "");
  }
  name += "|" + m_toldAnswer + "|" + std::to_string(m_lostLeft) +
          std::to_string(m_lateLeft);
  for (const LateProposal& late : m_late) {
    name += "|" + late.m_name;
  }
  return name;
}

std::string
ModelWorld::FindFault() const
{
  const int runs = std::accumulate(m_runs.begin(), m_runs.end(), 0);
  if (runs > 1) {
    return "ran twice: " + m_trace;
  }
  // Not run holds for the key, not just for the attempt: a call that was
  // delayed on its way may still arrive after the caller was told.
  for (const bool told : m_toldNotRun) {
    if (told && runs > 0) {
      return "ran, but not run was told: " + m_trace;
    }
  }
  if (m_toldAnswer.find(" then ") != std::string::npos) {
    return "two answers were told: " + m_trace;
  }
  const bool done = m_record && m_record->state == ActionState::Done;
  if (!m_toldAnswer.empty() &&
      (!done || m_record->answer->body != m_toldAnswer)) {
    return "an answer was told and then lost: " + m_trace;
  }
  return {};
}

std::vector<ModelWorld>
ListNext(const ModelWorld& aWorld)
{
  return MoveLister(aWorld).List();
}

} // namespace parsleycove::test
