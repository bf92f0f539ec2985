// Which identity a replica starts under, and whether it founds a group.
#include "Control/ReplicaIdentity.h"

#include <algorithm>

#include "Store/IdentityFile.h"

namespace parsleycove {

namespace {

constexpr std::uint64_t kFnvOffsetBasis = 0xCBF29CE484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001B3ULL;
// Founders have the upper bit clear, drawn identities have it set.
constexpr std::uint64_t kRandomIdentityBit = 1ULL << 63U;

std::uint64_t
FounderIdentity(const SocketAddress& aAddress)
{
  std::uint64_t hash = kFnvOffsetBasis;
  for (const char letter : aAddress.ToString()) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * kFnvPrime;
  }
  return std::max<std::uint64_t>(hash & ~kRandomIdentityBit, 1);
}

std::vector<ReplicaSeed>
ListFounders(const std::vector<SocketAddress>& aFounders)
{
  std::vector<ReplicaSeed> seeds;
  for (const SocketAddress& founder : aFounders) {
    ReplicaSeed seed;
    seed.m_replica = FounderIdentity(founder);
    seed.m_vm = founder.m_address;
    seed.m_address = founder;
    seeds.push_back(std::move(seed));
  }
  return seeds;
}

} // namespace

std::optional<ReplicaIdentity>
ChooseIdentity(Files& aFiles, const ReplicaStart& aStart, StoreReason& aReason)
{
  const auto names = aFiles.List(aStart.m_folder, aReason);
  if (!names) {
    return std::nullopt;
  }
  const bool isFounder =
    aStart.m_isFirstStart && std::find(aStart.m_founders.begin(),
                                       aStart.m_founders.end(),
                                       aStart.m_own) != aStart.m_founders.end();
  ReplicaIdentity result;
  if (std::find(names->begin(), names->end(), kIdentityName) != names->end()) {
    const auto known = ReadIdentity(aFiles, aStart.m_folder, aReason);
    if (!known) {
      return std::nullopt;
    }
    result.m_replica = known->m_replica;
    if (isFounder && known->m_replica == FounderIdentity(aStart.m_own)) {
      result.m_bootstrap = ListFounders(aStart.m_founders);
    }
    return result;
  }
  if (isFounder) {
    result.m_replica = FounderIdentity(aStart.m_own);
    result.m_bootstrap = ListFounders(aStart.m_founders);
  } else {
    result.m_replica = aStart.m_random | kRandomIdentityBit;
  }
  return result;
}

bool
DiscardFolder(Files& aFiles, const std::string& aFolder, StoreReason& aReason)
{
  const auto names = aFiles.List(aFolder, aReason);
  if (!names) {
    return false;
  }
  // The identity goes last: without it the rest is no log of anybody's.
  const std::string prefix = aFolder + "/";
  for (const std::string& name : *names) {
    if (name != kIdentityName && !aFiles.Remove(prefix + name, aReason)) {
      return false;
    }
  }
  const bool hadIdentity =
    std::find(names->begin(), names->end(), kIdentityName) != names->end();
  return (!hadIdentity ||
          aFiles.Remove(aFolder + "/" + kIdentityName, aReason)) &&
         aFiles.SyncFolder(aFolder, aReason);
}

} // namespace parsleycove
