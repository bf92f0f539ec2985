// Which identity a replica starts under, and whether it founds a group.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Control/ReplicaServiceOptions.h"
#include "Store/Files.h"

namespace parsleycove {

// What is known of a VM at its start.
struct ReplicaStart
{
  std::string m_folder;
  SocketAddress m_own;
  // Founding members, the same list on every VM of a new group.
  std::vector<SocketAddress> m_founders;
  // True only at the very first start of the whole system.
  bool m_isFirstStart = false;
  // For an identity that nobody had before.
  std::uint64_t m_random = 0;
};

struct ReplicaIdentity
{
  std::uint64_t m_replica = 0;
  // Empty: the replica joins a group that is there.
  std::vector<ReplicaSeed> m_bootstrap;
};

// The founders' identities follow from their addresses, so that all of them
// begin with the same members. Every other replica draws one, and so does a
// founder whose disk was lost: its old identity may have promised votes and
// entries that the new disk does not hold. Nothing with a reason when the
// folder cannot be read.
std::optional<ReplicaIdentity>
ChooseIdentity(Files& aFiles, const ReplicaStart& aStart, StoreReason& aReason);

// Empties a data folder that is damaged, so that the replica can come back as
// a new one.
bool
DiscardFolder(Files& aFiles, const std::string& aFolder, StoreReason& aReason);

} // namespace parsleycove
