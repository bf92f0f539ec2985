// The state machine behind the replicated log.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "State/ActionLedger.h"
#include "State/ChangeHistory.h"
#include "State/ConfigState.h"
#include "State/StateLimits.h"
#include "State/StateReason.h"
#include "StateGenerated.h"

namespace parsleycove {

// Applies committed commands in the order of the log.
//
// Apply is a pure function of the state, the index, the term and the command:
// equal on every replica. Time comes from the commands only and never goes
// back. A command that is proposed again changes nothing a second time.
class ReplicatedState
{
public:
  explicit ReplicatedState(StateLimits aLimits = {});

  state::CommandResultT Apply(std::uint64_t aIndex,
                              std::uint64_t aTerm,
                              const state::CommandT& aCommand);

  // Returns a StateImage buffer; equal states give equal bytes.
  std::vector<std::uint8_t> TakeImage() const;
  // Replaces the state. On a malformed image returns false, keeps the state
  // and sets LastReason().
  bool Restore(const std::vector<std::uint8_t>& aImage);
  const StateReason& LastReason() const { return m_reason; }

  const state::ConfigImageT& Config() const { return m_config.Image(); }
  // Null when the ledger has no such key.
  const state::ActionRecordT* FindAction(const std::string& aAccount,
                                         const std::string& aKey) const;
  // Actions that a process of this gateway up to this epoch holds, Reserved or
  // Dispatched; they end with GatewayGone.
  std::vector<const state::ActionRecordT*> FindHeldActions(
    const std::string& aGateway,
    std::uint64_t aEpoch) const;
  // Open actions unchanged since before that time, oldest first; for actions
  // whose holder no replica remembers.
  std::vector<const state::ActionRecordT*> FindOverdueActions(
    std::uint64_t aUnixMs,
    std::size_t aMost) const;
  // VM ids of the gateways that hold actions, in order.
  std::vector<std::string> ListHolders() const;
  // Orders that are not done, in order of their sequence.
  std::vector<const state::EngineOrderT*> FindPendingOrders() const;
  // Memory of the first answers to changes, in bytes.
  std::size_t CountHistoryBytes() const;
  std::uint64_t LastUnixMs() const { return m_lastUnixMs; }
  // Highest level of the applied commands (see CommandLevel.h).
  std::uint32_t FeatureLevel() const { return m_featureLevel; }

private:
  state::CommandResultT Route(std::uint64_t aIndex,
                              std::uint64_t aTerm,
                              const state::CommandT& aCommand);
  state::CommandResultT ApplyChange(std::uint64_t aIndex,
                                    const state::CommandT& aCommand);
  state::CommandResultT IssueOrder(std::uint64_t aIndex,
                                   std::uint64_t aTerm,
                                   const state::CommandT& aCommand);
  state::CommandResultT RouteAction(const state::CommandBodyUnion& aBody);

  StateLimits m_limits;
  ConfigState m_config;
  std::unique_ptr<ChangeHistory> m_changes;
  std::unique_ptr<ActionLedger> m_ledger;
  std::uint64_t m_lastUnixMs = 0;   // never goes back
  std::uint32_t m_featureLevel = 0; // never goes back
  StateReason m_reason;
};

} // namespace parsleycove
