// Configuration, endpoint registry and orders, built by applying commands.
#include "State/ConfigState.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "State/ChangeValidator.h"
#include "State/EndpointLimitTable.h"
#include "State/EndpointRegistry.h"
#include "State/EntryGatewayTable.h"
#include "State/NamedEntities.h"
#include "State/OrderBook.h"
#include "State/PromptPartTable.h"

namespace parsleycove {

namespace {

template<typename Entity>
void
MergeKind(EntityList<Entity>& aList,
          const EntityList<Entity>& aPuts,
          const std::vector<std::string>& aRemoved)
{
  for (const std::string& name : aRemoved) {
    RemoveEntity(aList, name);
  }
  for (const auto& entity : aPuts) {
    PutEntity(aList, *entity);
  }
}

} // namespace

bool
AffectsConfig(const state::CommandT& aCommand)
{
  switch (aCommand.body.type) {
    case state::CommandBody::ApplyChange:
    case state::CommandBody::AnnounceEndpoint:
    case state::CommandBody::LeaveEndpoint:
    case state::CommandBody::DropEndpoints:
    case state::CommandBody::IssueOrder:
    case state::CommandBody::FinishOrder:
    case state::CommandBody::PutDocument:
    case state::CommandBody::SuspectEndpoint:
    case state::CommandBody::ReportPromptCrash:
    case state::CommandBody::ClearPromptParts:
    case state::CommandBody::TryPromptPart:
    case state::CommandBody::ClaimEndpointLimits:
    case state::CommandBody::AnnounceGateway:
      return aCommand.body.value != nullptr;
    default:
      return false;
  }
}

ConfigState::ConfigState()
  : ConfigState(state::ConfigImageT{})
{
}

ConfigState::ConfigState(state::ConfigImageT aImage)
  : m_image(std::move(aImage))
{
  if (!m_image.settings) {
    m_image.settings = std::make_unique<state::SettingsT>();
  }
  SortEntities(m_image.classes);
  SortEntities(m_image.accounts);
  SortEntities(m_image.models);
  SortEntities(m_image.services);
  SortEntities(m_image.endpoints);
  SortEntities(m_image.orders);
  SortEntities(m_image.prompt_parts);
  SortEntities(m_image.endpoint_limits);
  SortEntities(m_image.gateways);
  for (const auto& account : m_image.accounts) {
    m_accountOfKey.emplace(account->key_hash, account->name);
  }
}

state::CommandResultT
ConfigState::Apply(std::uint64_t aIndex,
                   const state::CommandT& aCommand,
                   std::uint64_t aUnixMs)
{
  state::CommandResultT result;
  result.index = aIndex;
  if (!AffectsConfig(aCommand)) {
    result.revision = m_image.revision;
    return result;
  }
  if (aIndex <= m_image.index) {
    result.code = state::ResultCode::Duplicate;
    result.text = "index " + std::to_string(aIndex) + " is applied already";
    result.revision = m_image.revision;
    return result;
  }
  switch (aCommand.body.type) {
    case state::CommandBody::ApplyChange:
      ApplyChange(*aCommand.body.AsApplyChange(), aUnixMs, result);
      break;
    case state::CommandBody::AnnounceEndpoint:
      ApplyAnnounce(m_image, *aCommand.body.AsAnnounceEndpoint(), result);
      break;
    case state::CommandBody::LeaveEndpoint:
      ApplyLeave(m_image, *aCommand.body.AsLeaveEndpoint(), result);
      break;
    case state::CommandBody::DropEndpoints:
      ApplyDrop(m_image, *aCommand.body.AsDropEndpoints(), result);
      break;
    case state::CommandBody::IssueOrder:
      ApplyIssue(m_image, aIndex, *aCommand.body.AsIssueOrder(), result);
      break;
    case state::CommandBody::FinishOrder:
      ApplyFinish(m_image, *aCommand.body.AsFinishOrder(), result);
      break;
    case state::CommandBody::SuspectEndpoint:
      ApplySuspect(m_image, *aCommand.body.AsSuspectEndpoint(), result);
      break;
    case state::CommandBody::ReportPromptCrash:
      ApplyPromptCrash(m_image, *aCommand.body.AsReportPromptCrash(), result);
      break;
    case state::CommandBody::ClearPromptParts:
      ApplyClearPromptParts(
        m_image, *aCommand.body.AsClearPromptParts(), result);
      break;
    case state::CommandBody::TryPromptPart:
      ApplyTryPromptPart(m_image, *aCommand.body.AsTryPromptPart(), result);
      break;
    case state::CommandBody::ClaimEndpointLimits:
      ApplyClaimEndpointLimits(
        m_image, *aCommand.body.AsClaimEndpointLimits(), result);
      break;
    case state::CommandBody::AnnounceGateway:
      ApplyAnnounceGateway(m_image, *aCommand.body.AsAnnounceGateway(), result);
      break;
    case state::CommandBody::PutDocument:
      PutDocument(*aCommand.body.AsPutDocument(), result);
      break;
    default:
      break;
  }
  m_image.index = aIndex;
  result.revision = m_image.revision;
  return result;
}

void
ConfigState::PutDocument(const state::PutDocumentT& aCommand,
                         state::CommandResultT& aResult)
{
  if (!aCommand.document) {
    aResult.code = state::ResultCode::Invalid;
    aResult.text = "document: none, expected one";
    return;
  }
  const std::uint64_t version = aCommand.document->version;
  if (m_image.document && version <= m_image.document->version) {
    aResult.code = state::ResultCode::Duplicate;
    aResult.text = "document version " + std::to_string(version) +
                   " is not above " + std::to_string(m_image.document->version);
    return;
  }
  m_image.document =
    std::make_unique<state::RoutingDocumentT>(*aCommand.document);
}

void
ConfigState::AdvanceIndex(std::uint64_t aIndex)
{
  m_image.index = std::max(m_image.index, aIndex);
}

void
ConfigState::ApplyChange(const state::ApplyChangeT& aCommand,
                         std::uint64_t aUnixMs,
                         state::CommandResultT& aResult)
{
  if (aCommand.base_revision != m_image.revision) {
    aResult.code = state::ResultCode::RevisionConflict;
    aResult.text = "base_revision is " +
                   std::to_string(aCommand.base_revision) + ", expected " +
                   std::to_string(m_image.revision);
    return;
  }
  if (!aCommand.change) {
    aResult.code = state::ResultCode::Invalid;
    aResult.text = "change: none, expected one";
    return;
  }
  const std::uint64_t now = std::max(aUnixMs, aCommand.unix_ms);
  const ChangeValidator validator(m_image, m_accountOfKey);
  if (auto fault = validator.FindFault(*aCommand.change, now)) {
    aResult.code = state::ResultCode::Invalid;
    aResult.text = std::move(*fault);
    return;
  }
  Merge(*aCommand.change);
  ++m_image.revision;
}

void
ConfigState::Merge(const state::ConfigChangeT& aChange)
{
  ForgetKeys(aChange);
  MergeKind(m_image.classes, aChange.put_classes, aChange.remove_classes);
  MergeKind(m_image.accounts, aChange.put_accounts, aChange.remove_accounts);
  MergeKind(m_image.models, aChange.put_models, aChange.remove_models);
  MergeKind(m_image.services, aChange.put_services, aChange.remove_services);
  if (aChange.settings) {
    *m_image.settings = *aChange.settings;
  }
  for (const auto& account : aChange.put_accounts) {
    m_accountOfKey.emplace(account->key_hash, account->name);
  }
}

void
ConfigState::ForgetKeys(const state::ConfigChangeT& aChange)
{
  auto forget = [this](const std::string& aName) {
    if (const auto* account = FindEntity(m_image.accounts, aName)) {
      m_accountOfKey.erase(account->key_hash);
    }
  };
  for (const std::string& name : aChange.remove_accounts) {
    forget(name);
  }
  for (const auto& account : aChange.put_accounts) {
    forget(account->name);
  }
}

} // namespace parsleycove
