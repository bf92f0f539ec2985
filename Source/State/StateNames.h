// Names of the enum values of the state schema, as JSON and logs show them.
#pragma once

#include <array>

#include "Base/EnumTable.h"
#include "StateGenerated.h"

namespace parsleycove {

inline constexpr std::array<EnumName<state::EndpointKind>, 3>
  kEndpointKindNames{ {
    { state::EndpointKind::Engine, "engine" },
    { state::EndpointKind::PlainService, "plain_service" },
    { state::EndpointKind::ManagedEngine, "managed_engine" },
  } };

inline constexpr std::array<EnumName<state::EndpointPhase>, 2>
  kEndpointPhaseNames{ {
    { state::EndpointPhase::Ready, "ready" },
    { state::EndpointPhase::Leaving, "leaving" },
  } };

inline constexpr std::array<EnumName<state::OrderKind>, 3> kOrderKindNames{ {
  { state::OrderKind::HoldLayers, "hold_layers" },
  { state::OrderKind::ChangeRole, "change_role" },
  { state::OrderKind::LoadAdapter, "load_adapter" },
} };

inline constexpr std::array<EnumName<state::ActionState>, 5> kActionStateNames{
  {
    { state::ActionState::Reserved, "reserved" },
    { state::ActionState::Dispatched, "dispatched" },
    { state::ActionState::Done, "done" },
    { state::ActionState::NotRun, "not_run" },
    { state::ActionState::InDoubt, "in_doubt" },
  }
};

inline constexpr std::array<EnumName<state::ResultCode>, 10> kResultCodeNames{ {
  { state::ResultCode::Ok, "ok" },
  { state::ResultCode::Duplicate, "duplicate" },
  { state::ResultCode::RevisionConflict, "revision_conflict" },
  { state::ResultCode::Invalid, "invalid" },
  { state::ResultCode::KeyReused, "key_reused" },
  { state::ResultCode::KeyExpired, "key_expired" },
  { state::ResultCode::LedgerFull, "ledger_full" },
  { state::ResultCode::StaleAttempt, "stale_attempt" },
  { state::ResultCode::StaleIncarnation, "stale_incarnation" },
  { state::ResultCode::NotFound, "not_found" },
} };

} // namespace parsleycove
