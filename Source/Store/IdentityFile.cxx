// Which replica of which cluster a data folder belongs to.
#include "Store/IdentityFile.h"

#include <cstring>

#include "Store/FileWrite.h"
#include "Store/Record.h"
#include "Store/StoreText.h"

namespace parsleycove {

namespace {

constexpr std::uint64_t kSalt = 0;

} // namespace

bool
WriteIdentity(Files& aFiles,
              const std::string& aFolder,
              const StoreIdentity& aIdentity,
              StoreReason& aReason)
{
  std::vector<std::uint8_t> payload(sizeof(aIdentity));
  std::memcpy(payload.data(), &aIdentity, sizeof(aIdentity));
  std::vector<std::uint8_t> bytes;
  AppendRecord(bytes, RecordKind::Identity, kSalt, payload);
  return WriteWhole(aFiles, aFolder, kIdentityName, bytes, aReason);
}

std::optional<StoreIdentity>
ReadIdentity(Files& aFiles, const std::string& aFolder, StoreReason& aReason)
{
  const std::string path = aFolder + "/" + kIdentityName;
  const auto bytes = aFiles.Read(path, aReason);
  if (!bytes) {
    return std::nullopt;
  }
  const auto record = ReadRecord(*bytes, 0, kSalt);
  StoreIdentity identity;
  if (!record || record->m_kind != RecordKind::Identity ||
      record->m_payload.size() != sizeof(identity)) {
    aReason = MakeDamage(path, "the identity's checksum is wrong");
    return std::nullopt;
  }
  std::memcpy(&identity, record->m_payload.data(), sizeof(identity));
  return identity;
}

} // namespace parsleycove
