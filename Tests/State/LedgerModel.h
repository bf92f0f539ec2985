// A model of two gateways that use the ledger, for enumerating interleavings.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "StateGenerated.h"

namespace parsleycove::test {

// Where a gateway's handling of the one request stands.
enum class GatewayStep : std::uint8_t
{
  Start,
  Reserving,
  Owned,   // may dispatch or give up
  Cleared, // Dispatched is known to be committed; nothing sent yet
  NotSent, // the connection failed before the first byte
  Sent,    // waits for the service's answer
  GivenUp, // no answer in time
  Ended,
  Crashed,
};

struct ModelGateway
{
  std::string m_vm;
  std::uint64_t m_epoch = 1;
  GatewayStep m_step = GatewayStep::Start;
  std::uint64_t m_attempt = 0;
  bool m_gone = false; // GatewayGone was proposed
};

// A call on its way to the service, or its reply.
enum class CallState : std::uint8_t
{
  None,
  UnderWay,
  Ran,
  Refused, // the service's word that it did not run
};

// A proposal that a network or a retry may bring a second time.
struct LateProposal
{
  state::CommandT m_command;
  std::string m_name; // tells it from others
};

// Everything that the next moves depend on, with what was told to callers.
struct ModelWorld
{
  static constexpr std::size_t kMaxAttempts = 8;

  std::optional<state::ActionRecordT> m_record;
  std::array<ModelGateway, 2> m_gateways;
  std::array<CallState, kMaxAttempts> m_calls{}; // by attempt
  std::array<int, kMaxAttempts> m_runs{};        // by attempt
  std::array<bool, kMaxAttempts> m_toldNotRun{}; // by attempt
  std::string m_toldAnswer;
  std::vector<LateProposal> m_late;
  int m_lostLeft = 1; // answers that may still get lost
  int m_lateLeft = 1; // proposals that may still come again
  int m_depth = 0;
  std::string m_trace;

  // Names the state, not the way to it.
  std::string Name() const;
  // What is wrong with this state; empty when nothing is.
  std::string FindFault() const;
};

// All states that one move leads to.
std::vector<ModelWorld>
ListNext(const ModelWorld& aWorld);

} // namespace parsleycove::test
