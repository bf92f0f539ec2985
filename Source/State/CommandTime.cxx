// The time that a command carries.
#include "State/CommandTime.h"

namespace parsleycove {

namespace {

// Null for commands without a time.
template<typename Union>
auto
FindUnixMs(Union& aBody) -> decltype(&aBody.AsApplyChange()->unix_ms)
{
  switch (aBody.type) {
    case state::CommandBody::ApplyChange:
      return &aBody.AsApplyChange()->unix_ms;
    case state::CommandBody::ReserveAction:
      return &aBody.AsReserveAction()->unix_ms;
    case state::CommandBody::DispatchAction:
      return &aBody.AsDispatchAction()->unix_ms;
    case state::CommandBody::CompleteAction:
      return &aBody.AsCompleteAction()->unix_ms;
    case state::CommandBody::AbandonAction:
      return &aBody.AsAbandonAction()->unix_ms;
    case state::CommandBody::DoubtAction:
      return &aBody.AsDoubtAction()->unix_ms;
    case state::CommandBody::ResolveAction:
      return &aBody.AsResolveAction()->unix_ms;
    case state::CommandBody::GatewayGone:
      return &aBody.AsGatewayGone()->unix_ms;
    case state::CommandBody::ReportPromptCrash:
      return &aBody.AsReportPromptCrash()->unix_ms;
    case state::CommandBody::ClearPromptParts:
      return &aBody.AsClearPromptParts()->unix_ms;
    case state::CommandBody::TryPromptPart:
      return &aBody.AsTryPromptPart()->unix_ms;
    case state::CommandBody::ClaimEndpointLimits:
      return &aBody.AsClaimEndpointLimits()->unix_ms;
    case state::CommandBody::AnnounceGateway:
      return &aBody.AsAnnounceGateway()->unix_ms;
    default:
      return nullptr;
  }
}

} // namespace

std::uint64_t
ReadCommandTime(const state::CommandT& aCommand)
{
  const auto* time = FindUnixMs(aCommand.body);
  return time == nullptr ? 0 : *time;
}

void
StampCommand(state::CommandT& aCommand, std::uint64_t aUnixMs)
{
  if (auto* time = FindUnixMs(aCommand.body)) {
    *time = aUnixMs;
  }
}

} // namespace parsleycove
