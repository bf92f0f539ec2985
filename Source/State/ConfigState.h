// Configuration, endpoint registry and orders, built by applying commands.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "StateGenerated.h"

namespace parsleycove {

// True for commands that configuration, registry, orders or prompt parts depend
// on.
bool
AffectsConfig(const state::CommandT& aCommand);

// The part of the replicated state that every gateway has a copy of.
//
// A gateway is fed the commands whose result on the replica was Ok; the others
// changed nothing there and must not be applied to a copy, since the table of
// first answers that refused them is not part of it.
class ConfigState
{
public:
  ConfigState();
  explicit ConfigState(state::ConfigImageT aImage);

  // Applies a command that AffectsConfig(); others are ignored. A command at
  // or below the image's index has been applied already and returns Duplicate.
  // aUnixMs: the state's time; dates are judged by it and the command's own.
  state::CommandResultT Apply(std::uint64_t aIndex,
                              const state::CommandT& aCommand,
                              std::uint64_t aUnixMs = 0);
  // Notes that nothing up to this index is missing.
  void AdvanceIndex(std::uint64_t aIndex);
  const state::ConfigImageT& Image() const { return m_image; }

private:
  void ApplyChange(const state::ApplyChangeT& aCommand,
                   std::uint64_t aUnixMs,
                   state::CommandResultT& aResult);
  // Keeps the highest version.
  void PutDocument(const state::PutDocumentT& aCommand,
                   state::CommandResultT& aResult);
  void Merge(const state::ConfigChangeT& aChange);
  // Forgets the present key hashes of accounts that the change names.
  void ForgetKeys(const state::ConfigChangeT& aChange);

  // Invariant: every list is sorted by name or id, without duplicates.
  state::ConfigImageT m_image;
  // Invariant: holds the key hash of each account of m_image.
  std::unordered_map<std::string, std::string> m_accountOfKey;
};

} // namespace parsleycove
