// Builders of commands and small configurations for the tests of State.
#include "State/Commands.h"

#include <array>
#include <cstdio>

#include <CppUTest/TestHarness.h>

#include "State/ConfigJson.h"

namespace parsleycove::test {

state::EndpointRefT
MakeRef(const std::string& aId, std::uint64_t aIncarnation)
{
  state::EndpointRefT reference;
  reference.id = aId;
  reference.incarnation = aIncarnation;
  return reference;
}

std::string
MakeKeyHash(std::uint64_t aNumber)
{
  std::array<char, 65> text{};
  std::snprintf(text.data(),
                text.size(),
                "%064llx",
                static_cast<unsigned long long>(aNumber));
  return text.data();
}

std::string
MakeTimedKey(std::uint64_t aUnixMs, std::uint32_t aNumber)
{
  std::array<char, 64> text{};
  std::snprintf(text.data(),
                text.size(),
                "%08llx-%04llx-7000-8000-%012x",
                static_cast<unsigned long long>(aUnixMs >> 16),
                static_cast<unsigned long long>(aUnixMs & 0xffff),
                aNumber);
  return text.data();
}

state::CommandT
MakeClassChange(const std::string& aChangeId,
                std::uint64_t aBase,
                const std::string& aClass,
                std::uint32_t aCompletionMs)
{
  return MakeChange(aChangeId,
                    aBase,
                    R"({"put_classes":[{"name":")" + aClass +
                      R"(","first_token_ms":10,"completion_ms":)" +
                      std::to_string(aCompletionMs) +
                      R"(,"success_per_mille":950}]})");
}

state::CommandT
MakeChange(const std::string& aChangeId,
           std::uint64_t aBase,
           const std::string& aJson,
           std::uint64_t aUnixMs)
{
  StateReason reason;
  const auto change = ParseConfigChange(aJson, reason);
  CHECK_TEXT(change.has_value(), reason.m_text.c_str());
  state::ApplyChangeT apply;
  apply.change_id = aChangeId;
  apply.base_revision = aBase;
  apply.operator_name = "olga";
  apply.unix_ms = aUnixMs;
  apply.change = std::make_unique<state::ConfigChangeT>(*change);
  return MakeCommand(std::move(apply));
}

state::EndpointT
MakeEngine(const std::string& aId,
           std::uint64_t aIncarnation,
           std::uint32_t aFirst,
           std::uint32_t aLast)
{
  state::EndpointT endpoint;
  endpoint.id = aId;
  endpoint.incarnation = aIncarnation;
  endpoint.address = "10.0.0.1";
  endpoint.port = 9000;
  endpoint.zone = "a";
  endpoint.model = "briefing";
  endpoint.version = "1";
  endpoint.first_layer = aFirst;
  endpoint.last_layer = aLast;
  endpoint.slots = 8;
  return endpoint;
}

state::CommandT
MakeAnnounce(const state::EndpointT& aEndpoint)
{
  state::AnnounceEndpointT announce;
  announce.endpoint = std::make_unique<state::EndpointT>(aEndpoint);
  return MakeCommand(std::move(announce));
}

state::CommandT
MakeLeave(const std::string& aId, std::uint64_t aIncarnation)
{
  state::LeaveEndpointT leave;
  leave.endpoint =
    std::make_unique<state::EndpointRefT>(MakeRef(aId, aIncarnation));
  return MakeCommand(std::move(leave));
}

state::CommandT
MakeDrop(const std::string& aId, std::uint64_t aIncarnation)
{
  state::DropEndpointsT drop;
  drop.endpoints.push_back(
    std::make_unique<state::EndpointRefT>(MakeRef(aId, aIncarnation)));
  return MakeCommand(std::move(drop));
}

state::EngineOrderT
MakeOrder(const std::string& aId,
          const std::string& aEndpoint,
          std::uint64_t aIncarnation,
          std::uint64_t aTerm)
{
  state::EngineOrderT order;
  order.id = aId;
  order.endpoint =
    std::make_unique<state::EndpointRefT>(MakeRef(aEndpoint, aIncarnation));
  order.kind = state::OrderKind::HoldLayers;
  order.model = "briefing";
  order.version = "1";
  order.first_layer = 0;
  order.last_layer = 3;
  order.term = aTerm;
  return order;
}

state::CommandT
MakeIssue(const state::EngineOrderT& aOrder)
{
  state::IssueOrderT issue;
  issue.order = std::make_unique<state::EngineOrderT>(aOrder);
  return MakeCommand(std::move(issue));
}

state::ReserveActionT
MakeReserve(const std::string& aGateway,
            std::uint64_t aEpoch,
            const std::string& aKey,
            std::uint64_t aUnixMs)
{
  state::ReserveActionT reserve;
  reserve.account = "acme";
  reserve.key = aKey;
  reserve.fingerprint = "f";
  reserve.gateway = aGateway;
  reserve.gateway_epoch = aEpoch;
  reserve.unix_ms = aUnixMs;
  return reserve;
}

state::DispatchActionT
MakeDispatch(std::uint64_t aAttempt, const std::string& aKey)
{
  state::DispatchActionT dispatch;
  dispatch.account = "acme";
  dispatch.key = aKey;
  dispatch.attempt = aAttempt;
  dispatch.endpoint =
    std::make_unique<state::EndpointRefT>(MakeRef("booking-1", 1));
  return dispatch;
}

state::CompleteActionT
MakeComplete(std::uint64_t aAttempt,
             const std::string& aBody,
             const std::string& aKey,
             std::uint64_t aUnixMs)
{
  state::CompleteActionT complete;
  complete.account = "acme";
  complete.key = aKey;
  complete.attempt = aAttempt;
  complete.unix_ms = aUnixMs;
  complete.answer = std::make_unique<state::StoredAnswerT>();
  complete.answer->status = 200;
  complete.answer->body = aBody;
  return complete;
}

state::AbandonActionT
MakeAbandon(std::uint64_t aAttempt,
            bool aNotSent,
            bool aServiceWord,
            const std::string& aKey)
{
  state::AbandonActionT abandon;
  abandon.account = "acme";
  abandon.key = aKey;
  abandon.attempt = aAttempt;
  abandon.not_sent = aNotSent;
  abandon.service_word = aServiceWord;
  return abandon;
}

state::DoubtActionT
MakeDoubt(std::uint64_t aAttempt)
{
  state::DoubtActionT doubt;
  doubt.account = "acme";
  doubt.key = "k";
  doubt.attempt = aAttempt;
  return doubt;
}

state::ResolveActionT
MakeResolve(bool aRan, const std::string& aOperator, std::uint64_t aAttempt)
{
  state::ResolveActionT resolve;
  resolve.account = "acme";
  resolve.key = "k";
  resolve.ran = aRan;
  resolve.operator_name = aOperator;
  resolve.attempt = aAttempt;
  resolve.answer = std::make_unique<state::StoredAnswerT>();
  resolve.answer->body = "by " + aOperator;
  return resolve;
}

state::GatewayGoneT
MakeGone(const std::string& aGateway, std::uint64_t aEpoch)
{
  state::GatewayGoneT gone;
  gone.gateway = aGateway;
  gone.gateway_epoch = aEpoch;
  return gone;
}

std::string
PackConfig(const state::ConfigImageT& aImage)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(state::ConfigImage::Pack(builder, &aImage));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

} // namespace parsleycove::test
