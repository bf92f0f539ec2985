// Builders of commands and small configurations for the tests of State.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "StateGenerated.h"

namespace parsleycove::test {

template<typename Body>
state::CommandT
MakeCommand(Body aBody)
{
  state::CommandT command;
  command.body.Set(std::move(aBody));
  return command;
}

state::EndpointRefT
MakeRef(const std::string& aId, std::uint64_t aIncarnation);
// 64 hex digits that tell aNumber.
std::string
MakeKeyHash(std::uint64_t aNumber);
// A UUID of version 7 that carries this time.
std::string
MakeTimedKey(std::uint64_t aUnixMs, std::uint32_t aNumber);

// A change of one class named aClass.
state::CommandT
MakeClassChange(const std::string& aChangeId,
                std::uint64_t aBase,
                const std::string& aClass,
                std::uint32_t aCompletionMs = 1000);
// Parses the operators' JSON form; the test fails on a fault.
state::CommandT
MakeChange(const std::string& aChangeId,
           std::uint64_t aBase,
           const std::string& aJson,
           std::uint64_t aUnixMs = 1000);

state::EndpointT
MakeEngine(const std::string& aId,
           std::uint64_t aIncarnation,
           std::uint32_t aFirst = 0,
           std::uint32_t aLast = 3);
state::CommandT
MakeAnnounce(const state::EndpointT& aEndpoint);
state::CommandT
MakeLeave(const std::string& aId, std::uint64_t aIncarnation);
state::CommandT
MakeDrop(const std::string& aId, std::uint64_t aIncarnation);
state::EngineOrderT
MakeOrder(const std::string& aId,
          const std::string& aEndpoint,
          std::uint64_t aIncarnation,
          std::uint64_t aTerm);
state::CommandT
MakeIssue(const state::EngineOrderT& aOrder);

state::ReserveActionT
MakeReserve(const std::string& aGateway,
            std::uint64_t aEpoch,
            const std::string& aKey = "k",
            std::uint64_t aUnixMs = 1000);
state::DispatchActionT
MakeDispatch(std::uint64_t aAttempt, const std::string& aKey = "k");
state::CompleteActionT
MakeComplete(std::uint64_t aAttempt,
             const std::string& aBody,
             const std::string& aKey = "k",
             std::uint64_t aUnixMs = 1000);
state::AbandonActionT
MakeAbandon(std::uint64_t aAttempt,
            bool aNotSent,
            bool aServiceWord,
            const std::string& aKey = "k");
state::DoubtActionT
MakeDoubt(std::uint64_t aAttempt);
state::ResolveActionT
MakeResolve(bool aRan,
            const std::string& aOperator,
            std::uint64_t aAttempt = 0);
state::GatewayGoneT
MakeGone(const std::string& aGateway, std::uint64_t aEpoch);

// The image as bytes, to compare two.
std::string
PackConfig(const state::ConfigImageT& aImage);

} // namespace parsleycove::test
