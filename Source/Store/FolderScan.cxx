// The names of the files in a data folder.
#include "Store/FolderScan.h"

#include <charconv>

#include "Store/FileWrite.h"
#include "Store/IdentityFile.h"

namespace parsleycove {

namespace {

constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::size_t kNumberDigits = 20;

// Numbers have leading zeros, so that names sort as the numbers do.
std::string
MakeName(std::string_view aPrefix, std::uint64_t aNumber)
{
  const std::string digits = std::to_string(aNumber);
  return std::string(aPrefix) +
         std::string(kNumberDigits - digits.size(), '0') + digits;
}

std::optional<std::uint64_t>
ParseName(std::string_view aPrefix, std::string_view aName)
{
  if (!aName.starts_with(aPrefix) ||
      aName.size() != aPrefix.size() + kNumberDigits) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* end = aName.data() + aName.size();
  const auto [parsed, error] =
    std::from_chars(aName.data() + aPrefix.size(), end, number);
  return error == std::errc{} && parsed == end ? std::optional(number)
                                               : std::nullopt;
}

} // namespace

std::string
NameSegment(std::uint64_t aNumber)
{
  return MakeName(kSegmentPrefix, aNumber);
}

std::string
NameSnapshot(std::uint64_t aIndex)
{
  return MakeName(kSnapshotPrefix, aIndex);
}

std::optional<FolderScan>
ScanFolder(Files& aFiles, const std::string& aFolder, StoreReason& aReason)
{
  const auto names = aFiles.List(aFolder, aReason);
  if (!names) {
    return std::nullopt;
  }
  FolderScan scan;
  for (const std::string& name : *names) {
    if (const auto segment = ParseName(kSegmentPrefix, name)) {
      scan.m_segments.push_back(*segment);
    } else if (const auto snapshot = ParseName(kSnapshotPrefix, name)) {
      scan.m_snapshots.push_back(*snapshot);
    } else if (name == kIdentityName) {
      scan.m_hasIdentity = true;
    } else if (name.ends_with(kTemporaryEnding)) {
      scan.m_temporaries.push_back(name);
    }
  }
  return scan;
}

} // namespace parsleycove
