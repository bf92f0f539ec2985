// Buffer form of the whole replicated state.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "State/ActionLedger.h"
#include "State/ChangeHistory.h"
#include "State/StateLimits.h"
#include "State/StateReason.h"
#include "StateGenerated.h"

namespace parsleycove {

// The parts of a decoded image.
struct DecodedImage
{
  state::ConfigImageT m_config;
  std::unique_ptr<ChangeHistory> m_changes;
  std::unique_ptr<ActionLedger> m_ledger;
  std::uint64_t m_lastUnixMs = 0;
  std::uint32_t m_featureLevel = 0;
};

std::vector<std::uint8_t>
EncodeStateImage(const state::ConfigImageT& aConfig,
                 const ChangeHistory& aChanges,
                 const ActionTable& aActions,
                 std::uint64_t aLastUnixMs,
                 std::uint32_t aFeatureLevel);

// Nothing and a reason unless buffer and contents are sound and this build
// reads them; Unreadable if the image contains commands of a higher level.
std::optional<DecodedImage>
DecodeStateImage(const std::vector<std::uint8_t>& aImage,
                 StateLimits aLimits,
                 StateReason& aReason);

} // namespace parsleycove
