// The ledger of calls that may run at most once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "State/ActionTable.h"
#include "State/StateLimits.h"
#include "StateGenerated.h"

namespace parsleycove {

// State, holder and answer of each (account, idempotency key).
//
// Reserved -> Dispatched -> Done, Reserved -> NotRun and Dispatched -> InDoubt
// -> Done or NotRun. Every step names the attempt it belongs to; a step of an
// attempt that was taken over is refused. aNow is the state's time, which
// never goes back.
class ActionLedger
{
public:
  explicit ActionLedger(StateLimits aLimits);

  state::CommandResultT Reserve(const state::ReserveActionT& aCommand,
                                std::uint64_t aNow);
  state::CommandResultT Dispatch(const state::DispatchActionT& aCommand,
                                 std::uint64_t aNow);
  state::CommandResultT Complete(const state::CompleteActionT& aCommand,
                                 std::uint64_t aNow);
  state::CommandResultT Abandon(const state::AbandonActionT& aCommand,
                                std::uint64_t aNow);
  state::CommandResultT Doubt(const state::DoubtActionT& aCommand,
                              std::uint64_t aNow);
  state::CommandResultT Resolve(const state::ResolveActionT& aCommand,
                                std::uint64_t aNow);
  state::CommandResultT LoseGateway(const state::GatewayGoneT& aCommand,
                                    std::uint64_t aNow);

  // Null when the ledger has no such key.
  const state::ActionRecordT* Find(std::string_view aAccount,
                                   std::string_view aKey) const;
  // Adds an entry of an image; false when it is malformed or there already.
  bool Restore(state::ActionRecordT aRecord);
  ActionTable& Table() { return m_table; }
  const ActionTable& Table() const { return m_table; }

private:
  state::CommandResultT ReserveNew(const state::ReserveActionT& aCommand,
                                   std::uint64_t aNow);
  state::CommandResultT ReserveAgain(ActionEntry& aEntry,
                                     const state::ReserveActionT& aCommand,
                                     std::uint64_t aNow);
  // Moves the entry to the command's gateway with the next attempt.
  state::CommandResultT TakeOver(ActionEntry& aEntry,
                                 const state::ReserveActionT& aCommand,
                                 std::uint64_t aNow);
  void Move(ActionEntry& aEntry, state::ActionState aState, std::uint64_t aNow);
  void Finish(ActionEntry& aEntry,
              const state::StoredAnswerT* aAnswer,
              const std::string& aReason,
              std::uint64_t aNow);
  void EndAsNotRun(ActionEntry& aEntry,
                   const std::string& aReason,
                   std::uint64_t aNow);

  StateLimits m_limits;
  ActionTable m_table;
};

} // namespace parsleycove
