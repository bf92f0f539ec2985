// Reads a data folder and decides whether it can be trusted.
#include "Store/StoreLoader.h"

#include <algorithm>
#include <span>
#include <utility>

#include "Store/RecordTable.h"
#include "Store/StoreText.h"

namespace parsleycove {

StoreLoader::StoreLoader(Files& aFiles,
                         const std::string& aFolder,
                         SegmentWriter& aWriter,
                         StoreReason& aReason)
  : m_files(aFiles)
  , m_folder(aFolder)
  , m_writer(aWriter)
  , m_reason(aReason)
{
}

std::optional<StoreContent>
StoreLoader::Load()
{
  auto scan = ScanFolder(m_files, m_folder, m_reason);
  if (!scan) {
    return std::nullopt;
  }
  m_scan = std::move(*scan);
  if (!LoadIdentity() || !LoadSnapshot() || !LoadSegments() ||
      !CheckIdentity()) {
    return std::nullopt;
  }
  if (!RemoveTemporaries() || !RepairTail() || !RemoveOldSnapshots()) {
    return std::nullopt;
  }
  m_content.m_mustReset = m_replay.MustReset();
  m_content.m_log = std::move(m_replay.Log());
  return std::move(m_content);
}

bool
StoreLoader::LoadIdentity()
{
  if (!m_scan.m_hasIdentity) {
    return true;
  }
  m_content.m_identity = ReadIdentity(m_files, m_folder, m_reason);
  return m_content.m_identity.has_value();
}

bool
StoreLoader::LoadSnapshot()
{
  if (m_scan.m_snapshots.empty()) {
    return true;
  }
  const std::string name = NameSnapshot(m_scan.m_snapshots.back());
  auto snapshot = SnapshotFile::Open(m_files, m_folder + "/" + name, m_reason);
  if (!snapshot || !snapshot->ReadState(m_files, m_reason)) {
    return false;
  }
  m_content.m_snapshot = std::move(snapshot);
  return true;
}

bool
StoreLoader::LoadSegments()
{
  const auto& segments = m_scan.m_segments;
  for (std::size_t i = 0; i < segments.size(); ++i) {
    if (i > 0 && segments[i] != segments[i - 1] + 1) {
      return Refuse(NameSegment(segments[i - 1] + 1), "the file is missing");
    }
    if (!LoadSegment(segments[i], i + 1 == segments.size())) {
      return false;
    }
  }
  const bool firstDeleted = !segments.empty() && segments.front() != 1;
  if (firstDeleted && !m_content.m_snapshot) {
    return Refuse(NameSegment(1), "it is gone, and so is the snapshot");
  }
  const auto meta = m_content.m_snapshot
                      ? std::optional(m_content.m_snapshot->Meta())
                      : std::nullopt;
  if (const auto fault = m_replay.Join(meta)) {
    return Refuse("log", *fault);
  }
  return true;
}

bool
StoreLoader::LoadSegment(std::uint64_t aNumber, bool aIsLast)
{
  const std::string name = NameSegment(aNumber);
  const auto bytes = m_files.Read(m_folder + "/" + name, m_reason);
  if (!bytes) {
    return false;
  }
  SegmentScan scan = ScanSegment(*bytes, aNumber);
  const bool torn = scan.m_end == SegmentEnd::Torn;
  if (scan.m_end == SegmentEnd::Damaged || (torn && !aIsLast)) {
    return Refuse(name,
                  "the record at byte " + std::to_string(scan.m_validBytes) +
                    " is broken, and what follows it is not");
  }
  if (aIsLast && IsTornBootstrap(scan)) {
    // Without the entry that names the members, the term would keep the cluster
    // from being formed.
    scan.m_records.resize(scan.m_syncedRecords);
    scan.m_validBytes = scan.m_syncedBytes;
  }
  for (const Record& record : scan.m_records) {
    if (const auto fault = m_replay.Take(record)) {
      return Refuse(name, *fault);
    }
  }
  if (scan.m_records.empty()) {
    // A crash came before the first sync of a new segment.
    m_emptySegment = name;
    return aIsLast || Refuse(name, "the file is empty");
  }
  m_writer.Adopt(aNumber, m_replay.TakeMaxIndex(), scan.m_validBytes);
  if (aIsLast) {
    m_tail.assign(bytes->begin(),
                  bytes->begin() +
                    static_cast<std::ptrdiff_t>(scan.m_validBytes));
  }
  return true;
}

bool
StoreLoader::IsTornBootstrap(const SegmentScan& aScan) const
{
  const auto& identity = m_content.m_identity;
  const auto isFirstTerm = [](const Record& aRecord) {
    const auto state = aRecord.m_kind == RecordKind::HardState
                         ? DecodeTable<consensus::HardStateT>(aRecord.m_payload)
                         : std::nullopt;
    return state && state->term <= 1 && state->vote == 0;
  };
  const std::span<const Record> records(aScan.m_records);
  const auto unsynced = records.subspan(aScan.m_syncedRecords);
  return identity && identity->m_bootstrapped != 0 && !m_content.m_snapshot &&
         m_replay.IsEmpty() &&
         std::none_of(records.begin(),
                      records.end(),
                      [](const Record& aRecord) {
                        return aRecord.m_kind == RecordKind::Entry;
                      }) &&
         std::all_of(unsynced.begin(), unsynced.end(), isFirstTerm);
}

bool
StoreLoader::RepairTail()
{
  if (!m_emptySegment.empty()) {
    return m_files.Remove(m_folder + "/" + m_emptySegment, m_reason);
  }
  return m_tail.empty() || m_writer.Resume(m_tail, m_reason);
}

bool
StoreLoader::CheckIdentity()
{
  auto& state = m_replay.Log().m_hardState;
  const bool hasLog = state.replica != 0 || !m_replay.Log().m_entries.empty() ||
                      m_content.m_snapshot;
  if (!m_content.m_identity) {
    return !hasLog || Refuse(kIdentityName, "the file is missing");
  }
  if (!m_writer.HasSegments()) {
    return Refuse("log", "there is an identity, but no log");
  }
  const StoreIdentity& identity = *m_content.m_identity;
  if (state.replica == 0) {
    state.replica = identity.m_replica;
    state.cluster = identity.m_cluster;
  }
  return identity.IsSame(state.replica, state.cluster) ||
         Refuse(kIdentityName, "the log is that of another replica");
}

bool
StoreLoader::RemoveTemporaries()
{
  for (const std::string& name : m_scan.m_temporaries) {
    if (!m_files.Remove(m_folder + "/" + name, m_reason)) {
      return false;
    }
  }
  return true;
}

bool
StoreLoader::RemoveOldSnapshots()
{
  for (std::size_t i = 0; i + 1 < m_scan.m_snapshots.size(); ++i) {
    const std::string name = NameSnapshot(m_scan.m_snapshots[i]);
    if (!m_files.Remove(m_folder + "/" + name, m_reason)) {
      return false;
    }
  }
  return true;
}

bool
StoreLoader::Refuse(const std::string& aName, const std::string& aWhat)
{
  m_reason = MakeDamage(m_folder + "/" + aName, aWhat);
  return false;
}

} // namespace parsleycove
