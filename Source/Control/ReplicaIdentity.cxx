// Chooses the identity under which a replica starts, and whether it founds a
// new group.
#include "Control/ReplicaIdentity.h"

#include <algorithm>
#include <array>
#include <ctime>

#include "Store/FolderScan.h"
#include "Store/IdentityFile.h"

namespace parsleycove {

namespace {

// Parameters of the 64-bit FNV-1a hash.
constexpr std::uint64_t kFnvOffsetBasis = 0xCBF29CE484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001B3ULL;
// The top bit is clear in founders' identities and set in random ones.
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

using Names = std::vector<std::string>;

constexpr char kAsidePrefix[] = "damaged-";

bool
Contains(const Names& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

// A name with the date, in UTC, that the folder does not have yet.
std::string
NameAside(const Names& aNames, std::uint64_t aUnixMs)
{
  constexpr std::uint64_t kMsPerSecond = 1000;
  const auto seconds = static_cast<std::time_t>(aUnixMs / kMsPerSecond);
  std::tm date{};
  gmtime_r(&seconds, &date);
  std::array<char, 32> text{};
  const std::size_t size =
    std::strftime(text.data(), text.size(), "%Y%m%dT%H%M%SZ", &date);
  const std::string first = kAsidePrefix + std::string(text.data(), size);
  std::string name = first;
  for (int number = 2; Contains(aNames, name); ++number) {
    name = first + "-" + std::to_string(number);
  }
  return name;
}

} // namespace

std::optional<ReplicaIdentity>
ChooseIdentity(Files& aFiles, const ReplicaStart& aStart, StoreReason& aReason)
{
  const auto names = aFiles.List(aStart.m_folder, aReason);
  if (!names) {
    return std::nullopt;
  }
  const bool wasGivenUp =
    std::any_of(names->begin(), names->end(), [](const std::string& aName) {
      return aName.starts_with(kAsidePrefix);
    });
  const bool isFounder = aStart.m_isFirstStart && !wasGivenUp &&
                         std::find(aStart.m_founders.begin(),
                                   aStart.m_founders.end(),
                                   aStart.m_own) != aStart.m_founders.end();
  ReplicaIdentity result;
  if (Contains(*names, kIdentityName)) {
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

std::optional<std::string>
SetFolderAside(Files& aFiles,
               const std::string& aFolder,
               std::uint64_t aUnixMs,
               StoreReason& aReason)
{
  const std::string prefix = aFolder + "/";
  const auto lock = aFiles.Lock(prefix + kLockName, aReason);
  const auto names =
    lock ? aFiles.List(aFolder, aReason) : std::optional<Names>();
  if (!names) {
    return std::nullopt;
  }
  const std::string aside = NameAside(*names, aUnixMs);
  if (!aFiles.CreateFolder(prefix + aside, aReason)) {
    return std::nullopt;
  }
  const auto move = [&](const std::string& aName) {
    return aFiles.Rename(prefix + aName, prefix + aside + "/" + aName, aReason);
  };
  // The identity goes first, and durably: were the other files moved one by
  // one under it, a crash could leave a part that looks whole.
  const bool hasIdentity = Contains(*names, kIdentityName);
  if (hasIdentity &&
      !(move(kIdentityName) && aFiles.SyncFolder(aFolder, aReason))) {
    return std::nullopt;
  }
  for (const std::string& name : *names) {
    const bool stays = name == kIdentityName || name == kLockName ||
                       name.starts_with(kAsidePrefix);
    if (!stays && !move(name)) {
      return std::nullopt;
    }
  }
  return aFiles.SyncFolder(prefix + aside, aReason) &&
             aFiles.SyncFolder(aFolder, aReason)
           ? std::optional(aside)
           : std::nullopt;
}

} // namespace parsleycove
