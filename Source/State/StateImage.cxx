// Buffer form of the whole replicated state.
#include "State/StateImage.h"

#include <algorithm>
#include <utility>

#include <flatbuffers/flatbuffers.h>

#include "State/CommandLevel.h"
#include "State/EndpointLimitTable.h"
#include "State/NamedEntities.h"
#include "State/PromptPartTable.h"

namespace parsleycove {

namespace {

// The library's own bound of a million tables is below the ledger's size.
constexpr std::uint32_t kMaxDepth = 16;
constexpr std::uint32_t kMaxTables = 64'000'000;
constexpr std::size_t kFirstBufferBytes = 64UL * 1024;

bool
IsSound(const state::ConfigImageT& aConfig)
{
  const bool sorted =
    IsSortedAndUnique(aConfig.classes) && IsSortedAndUnique(aConfig.accounts) &&
    IsSortedAndUnique(aConfig.models) && IsSortedAndUnique(aConfig.services) &&
    IsSortedAndUnique(aConfig.endpoints) && IsSortedAndUnique(aConfig.orders) &&
    IsSortedAndUnique(aConfig.prompt_parts) && HasSoundPromptParts(aConfig) &&
    IsSortedAndUnique(aConfig.endpoint_limits) &&
    IsSortedAndUnique(aConfig.gateways) && HasSoundLimits(aConfig);
  return sorted && std::all_of(aConfig.orders.begin(),
                               aConfig.orders.end(),
                               [](const auto& aOrder) {
                                 return aOrder->endpoint != nullptr;
                               });
}

bool
DecodeChanges(const state::StateImage& aRoot, ChangeHistory& aChanges)
{
  if (aRoot.changes() == nullptr) {
    return true;
  }
  for (const state::ChangeRecord* packed : *aRoot.changes()) {
    state::ChangeRecordT record;
    packed->UnPackTo(&record);
    if (!aChanges.Restore(std::move(record))) {
      return false;
    }
  }
  return true;
}

bool
DecodeActions(const state::StateImage& aRoot, ActionLedger& aLedger)
{
  aLedger.Table().RestoreMarks(aRoot.evicted_key_unix_ms(),
                               aRoot.attempt_floor());
  if (aRoot.actions() == nullptr) {
    return true;
  }
  aLedger.Table().Reserve(aRoot.actions()->size());
  for (const state::ActionRecord* packed : *aRoot.actions()) {
    state::ActionRecordT record;
    packed->UnPackTo(&record);
    if (!aLedger.Restore(std::move(record))) {
      return false;
    }
  }
  return true;
}

// Images of builds from before the level was stored show it by their tables.
std::uint32_t
FindLevel(const state::StateImage& aRoot, const state::ConfigImageT& aConfig)
{
  const bool hasFirst = !aConfig.prompt_parts.empty() ||
                        !aConfig.endpoint_limits.empty() ||
                        !aConfig.gateways.empty();
  return std::max(aRoot.feature_level(), hasFirst ? 1U : 0U);
}

} // namespace

std::vector<std::uint8_t>
EncodeStateImage(const state::ConfigImageT& aConfig,
                 const ChangeHistory& aChanges,
                 const ActionTable& aActions,
                 std::uint64_t aLastUnixMs,
                 std::uint32_t aFeatureLevel)
{
  flatbuffers::FlatBufferBuilder builder(
    std::max(kFirstBufferBytes, aActions.Bytes()));
  const auto config = state::ConfigImage::Pack(builder, &aConfig);
  std::vector<flatbuffers::Offset<state::ChangeRecord>> changes;
  for (const state::ChangeRecordT& record : aChanges.Records()) {
    changes.push_back(state::ChangeRecord::Pack(builder, &record));
  }
  std::vector<flatbuffers::Offset<state::ActionRecord>> actions;
  actions.reserve(aActions.Count());
  aActions.Visit([&](const state::ActionRecordT& aRecord) {
    actions.push_back(state::ActionRecord::Pack(builder, &aRecord));
  });
  builder.Finish(state::CreateStateImage(builder,
                                         config,
                                         builder.CreateVector(changes),
                                         builder.CreateVector(actions),
                                         aLastUnixMs,
                                         aActions.EvictedKeyUnixMs(),
                                         aActions.AttemptFloor(),
                                         aFeatureLevel));
  return { builder.GetBufferPointer(),
           builder.GetBufferPointer() + builder.GetSize() };
}

std::optional<DecodedImage>
DecodeStateImage(const std::vector<std::uint8_t>& aImage,
                 StateLimits aLimits,
                 StateReason& aReason)
{
  aReason = {};
  flatbuffers::Verifier verifier(
    aImage.data(), aImage.size(), kMaxDepth, kMaxTables);
  if (!state::VerifyStateImageBuffer(verifier)) {
    aReason.Set(StateError::Malformed,
                "image: " + std::to_string(aImage.size()) +
                  " bytes do not verify, expected a StateImage buffer");
    return std::nullopt;
  }
  const state::StateImage& root = *state::GetStateImage(aImage.data());
  if (root.feature_level() > kFeatureLevel) {
    aReason.Set(StateError::Unreadable,
                "image: feature level is " +
                  std::to_string(root.feature_level()) + ", expected at most " +
                  std::to_string(kFeatureLevel));
    return std::nullopt;
  }
  DecodedImage result;
  result.m_changes =
    std::make_unique<ChangeHistory>(aLimits.m_maxChangeRecords);
  result.m_ledger = std::make_unique<ActionLedger>(aLimits);
  result.m_lastUnixMs = root.last_unix_ms();
  if (root.config() != nullptr) {
    root.config()->UnPackTo(&result.m_config);
  }
  if (root.config() == nullptr || !IsSound(result.m_config)) {
    aReason.Set(StateError::Malformed,
                "image: config is missing or out of order, expected sorted "
                "lists of unique names");
    return std::nullopt;
  }
  result.m_featureLevel = FindLevel(root, result.m_config);
  if (!DecodeChanges(root, *result.m_changes)) {
    aReason.Set(StateError::Malformed,
                "image: changes have an empty or repeated entry, expected "
                "unique change ids");
    return std::nullopt;
  }
  if (!DecodeActions(root, *result.m_ledger)) {
    aReason.Set(StateError::Malformed,
                "image: actions have an empty or repeated entry, expected "
                "unique keys");
    return std::nullopt;
  }
  return result;
}

} // namespace parsleycove
