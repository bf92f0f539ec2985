// Chooses the identity under which a replica starts, and whether it founds a
// new group.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Control/ReplicaServiceOptions.h"
#include "Store/Files.h"

namespace parsleycove {

// What a VM knows when its replica starts.
struct ReplicaStart
{
  std::string m_folder;
  SocketAddress m_own; // address of this replica
  // Addresses of the founding members. Every VM of a new group has the same
  // list.
  std::vector<SocketAddress> m_founders;
  // True only at the very first start of the whole system.
  bool m_isFirstStart = false;
  // Random number from which a new, unused identity is derived.
  std::uint64_t m_random = 0;
};

struct ReplicaIdentity
{
  std::uint64_t m_replica = 0;
  // Empty: the replica joins an existing group.
  std::vector<ReplicaSeed> m_bootstrap;
};

// Returns the identity stored in the folder, or a new one for a folder without
// an identity. A founder's identity is derived from its address, so that all
// founders start with the same members. Every other replica gets a random
// identity. So does a founder whose disk was lost or whose folder was set
// aside: under its old identity it may have cast votes and acknowledged entries
// that the new disk does not hold. Returns std::nullopt and sets aReason if the
// folder cannot be read.
std::optional<ReplicaIdentity>
ChooseIdentity(Files& aFiles, const ReplicaStart& aStart, StoreReason& aReason);

// Moves all files of a damaged data folder into a folder inside it that is
// named by the date, so that the VM can rejoin the group as a new replica and
// the files can be examined. Nothing is deleted. Returns the new folder's name;
// std::nullopt and aReason if the disk refuses it. Calling it again goes on.
std::optional<std::string>
SetFolderAside(Files& aFiles,
               const std::string& aFolder,
               std::uint64_t aUnixMs,
               StoreReason& aReason);

} // namespace parsleycove
