// Which replica of which cluster a data folder belongs to.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Store/Files.h"

namespace parsleycove {

// Written once; a folder never changes its replica or its cluster.
struct StoreIdentity
{
  std::uint64_t m_replica = 0;
  std::uint64_t m_cluster = 0;
  // The cluster was formed here, and not joined.
  std::uint64_t m_bootstrapped = 0;

  bool IsSame(std::uint64_t aReplica, std::uint64_t aCluster) const
  {
    return m_replica == aReplica && m_cluster == aCluster;
  }
};

inline constexpr char kIdentityName[] = "identity";

bool
WriteIdentity(Files& aFiles,
              const std::string& aFolder,
              const StoreIdentity& aIdentity,
              StoreReason& aReason);

std::optional<StoreIdentity>
ReadIdentity(Files& aFiles, const std::string& aFolder, StoreReason& aReason);

} // namespace parsleycove
