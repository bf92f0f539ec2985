// What an engine says about the state that its orders led to.
#pragma once

#include <cstdint>
#include <string>

#include "StateGenerated.h"

namespace parsleycove {

// The fields of `GET /engine/state` that orders change.
struct EngineReadback
{
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_term = 0;     // of the last order that it took
  std::uint64_t m_sequence = 0; // of the last order that it took
  std::string m_model;
  std::string m_version;
  std::uint32_t m_firstLayer = 0;
  std::uint32_t m_lastLayer = 0;
  std::string m_role;
};

// True when the state is the one that the order asks for. Adapters are not
// reported, so loading one counts as carried out once the engine's last order
// is this one.
bool
IsCarriedOut(const state::EngineOrderT& aOrder,
             const EngineReadback& aReadback);

} // namespace parsleycove
