// The state machine behind the replicated log.
#include "State/ReplicatedState.h"

#include <algorithm>
#include <utility>

#include "State/CommandLevel.h"
#include "State/CommandTime.h"
#include "State/StateImage.h"

namespace parsleycove {

namespace {

constexpr std::size_t kMaxChangeIdLength = 128;

state::CommandResultT
Refuse(std::string aText)
{
  state::CommandResultT result;
  result.code = state::ResultCode::Invalid;
  result.text = std::move(aText);
  return result;
}

} // namespace

ReplicatedState::ReplicatedState(StateLimits aLimits)
  : m_limits(aLimits)
  , m_changes(std::make_unique<ChangeHistory>(aLimits.m_maxChangeRecords))
  , m_ledger(std::make_unique<ActionLedger>(aLimits))
{
}

state::CommandResultT
ReplicatedState::Apply(std::uint64_t aIndex,
                       std::uint64_t aTerm,
                       const state::CommandT& aCommand)
{
  if (aCommand.body.value == nullptr) {
    state::CommandResultT result = Refuse("command: no body, expected one");
    result.index = aIndex;
    result.revision = Config().revision;
    m_config.AdvanceIndex(aIndex);
    return result;
  }
  m_lastUnixMs = std::max(m_lastUnixMs, ReadCommandTime(aCommand));
  m_featureLevel =
    std::max(m_featureLevel, FindCommandLevel(aCommand).value_or(0));
  state::CommandResultT result = Route(aIndex, aTerm, aCommand);
  m_config.AdvanceIndex(aIndex);
  return result;
}

std::vector<std::uint8_t>
ReplicatedState::TakeImage() const
{
  return EncodeStateImage(
    Config(), *m_changes, m_ledger->Table(), m_lastUnixMs, m_featureLevel);
}

bool
ReplicatedState::Restore(const std::vector<std::uint8_t>& aImage)
{
  auto decoded = DecodeStateImage(aImage, m_limits, m_reason);
  if (!decoded) {
    return false;
  }
  m_config = ConfigState(std::move(decoded->m_config));
  m_changes = std::move(decoded->m_changes);
  m_ledger = std::move(decoded->m_ledger);
  m_lastUnixMs = decoded->m_lastUnixMs;
  m_featureLevel = decoded->m_featureLevel;
  return true;
}

const state::ActionRecordT*
ReplicatedState::FindAction(const std::string& aAccount,
                            const std::string& aKey) const
{
  return m_ledger->Find(aAccount, aKey);
}

std::vector<const state::ActionRecordT*>
ReplicatedState::FindHeldActions(const std::string& aGateway,
                                 std::uint64_t aEpoch) const
{
  std::vector<const state::ActionRecordT*> result;
  for (const ActionEntry* entry :
       m_ledger->Table().FindHeld(aGateway, aEpoch)) {
    result.push_back(&entry->m_record);
  }
  return result;
}

std::vector<const state::ActionRecordT*>
ReplicatedState::FindOverdueActions(std::uint64_t aUnixMs,
                                    std::size_t aMost) const
{
  return m_ledger->Table().FindOpenBefore(aUnixMs, aMost);
}

std::vector<std::string>
ReplicatedState::ListHolders() const
{
  return m_ledger->Table().ListHolders();
}

std::vector<const state::EngineOrderT*>
ReplicatedState::FindPendingOrders() const
{
  std::vector<const state::EngineOrderT*> result;
  for (const auto& order : Config().orders) {
    if (!order->done) {
      result.push_back(order.get());
    }
  }
  std::sort(
    result.begin(),
    result.end(),
    [](const state::EngineOrderT* aLeft, const state::EngineOrderT* aRight) {
      return aLeft->sequence < aRight->sequence;
    });
  return result;
}

std::size_t
ReplicatedState::CountHistoryBytes() const
{
  return m_changes->CountBytes();
}

state::CommandResultT
ReplicatedState::Route(std::uint64_t aIndex,
                       std::uint64_t aTerm,
                       const state::CommandT& aCommand)
{
  const state::CommandBodyUnion& body = aCommand.body;
  switch (body.type) {
    case state::CommandBody::ApplyChange:
      return ApplyChange(aIndex, aCommand);
    case state::CommandBody::IssueOrder:
      return IssueOrder(aIndex, aTerm, aCommand);
    case state::CommandBody::AnnounceEndpoint:
    case state::CommandBody::LeaveEndpoint:
    case state::CommandBody::DropEndpoints:
    case state::CommandBody::FinishOrder:
    case state::CommandBody::PutDocument:
    case state::CommandBody::SuspectEndpoint:
    case state::CommandBody::ReportPromptCrash:
    case state::CommandBody::ClearPromptParts:
    case state::CommandBody::TryPromptPart:
    case state::CommandBody::ClaimEndpointLimits:
    case state::CommandBody::AnnounceGateway:
      return m_config.Apply(aIndex, aCommand, m_lastUnixMs);
    default:
      break;
  }
  state::CommandResultT result = RouteAction(body);
  result.index = aIndex;
  result.revision = Config().revision;
  return result;
}

state::CommandResultT
ReplicatedState::RouteAction(const state::CommandBodyUnion& aBody)
{
  switch (aBody.type) {
    case state::CommandBody::ReserveAction:
      return m_ledger->Reserve(*aBody.AsReserveAction(), m_lastUnixMs);
    case state::CommandBody::DispatchAction:
      return m_ledger->Dispatch(*aBody.AsDispatchAction(), m_lastUnixMs);
    case state::CommandBody::CompleteAction:
      return m_ledger->Complete(*aBody.AsCompleteAction(), m_lastUnixMs);
    case state::CommandBody::AbandonAction:
      return m_ledger->Abandon(*aBody.AsAbandonAction(), m_lastUnixMs);
    case state::CommandBody::DoubtAction:
      return m_ledger->Doubt(*aBody.AsDoubtAction(), m_lastUnixMs);
    case state::CommandBody::ResolveAction:
      return m_ledger->Resolve(*aBody.AsResolveAction(), m_lastUnixMs);
    case state::CommandBody::GatewayGone:
      return m_ledger->LoseGateway(*aBody.AsGatewayGone(), m_lastUnixMs);
    default:
      return Refuse("command: kind is unknown, expected one of the schema");
  }
}

state::CommandResultT
ReplicatedState::ApplyChange(std::uint64_t aIndex,
                             const state::CommandT& aCommand)
{
  const state::ApplyChangeT& change = *aCommand.body.AsApplyChange();
  if (change.change_id.empty() ||
      change.change_id.size() > kMaxChangeIdLength) {
    state::CommandResultT result = Refuse(
      "change_id has " + std::to_string(change.change_id.size()) +
      " characters, expected 1 to " + std::to_string(kMaxChangeIdLength));
    result.index = aIndex;
    result.revision = Config().revision;
    return result;
  }
  const std::string fingerprint = FingerprintOf(change);
  if (auto first = m_changes->Answer(change.change_id, fingerprint)) {
    return std::move(*first);
  }
  state::CommandResultT result = m_config.Apply(aIndex, aCommand, m_lastUnixMs);
  state::ChangeRecordT record;
  record.change_id = change.change_id;
  record.fingerprint = fingerprint;
  record.result = std::make_unique<state::CommandResultT>(result);
  m_changes->Remember(std::move(record));
  return result;
}

state::CommandResultT
ReplicatedState::IssueOrder(std::uint64_t aIndex,
                            std::uint64_t aTerm,
                            const state::CommandT& aCommand)
{
  const state::IssueOrderT& issue = *aCommand.body.AsIssueOrder();
  if (issue.order && issue.order->term != aTerm) {
    state::CommandResultT result =
      Refuse("order '" + issue.order->id + "': term is " +
             std::to_string(issue.order->term) + ", expected " +
             std::to_string(aTerm));
    result.index = aIndex;
    result.revision = Config().revision;
    return result;
  }
  return m_config.Apply(aIndex, aCommand, m_lastUnixMs);
}

} // namespace parsleycove
