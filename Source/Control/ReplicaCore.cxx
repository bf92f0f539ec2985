// Runs the log, the store and the state machine of one replica.
#include "Control/ReplicaCore.h"

#include <algorithm>
#include <utility>

#include "State/CommandCodec.h"
#include "State/CommandLevel.h"

namespace parsleycove {

namespace {

// Growth of the log, in sizes of the state, after which a snapshot is due.
// Above 1, so that a member is sent a whole snapshot before the next one
// replaces it.
constexpr std::uint64_t kLogBytesPerStateByte = 4;

} // namespace

ControlServiceError
ToServiceError(StoreError aError)
{
  if (aError == StoreError::Damage) {
    return ControlServiceError::StoreDamaged;
  }
  return MayPass(aError) ? ControlServiceError::Store
                         : ControlServiceError::StoreForeign;
}

std::unique_ptr<ReplicaCore>
ReplicaCore::Open(Files& aFiles,
                  const std::string& aFolder,
                  const ReplicaCoreOptions& aOptions,
                  const std::optional<consensus::MembershipT>& aBootstrap,
                  TimePoint aNow,
                  ReplicaCoreListener& aListener,
                  ControlServiceReason& aReason)
{
  StoreReason storeReason;
  auto store = LogStore::Open(aFiles, aFolder, storeReason);
  if (!store) {
    aReason.Set(ToServiceError(storeReason.m_code),
                "data folder " + aFolder + ": " + storeReason.m_text);
    return nullptr;
  }
  const consensus::HardStateT& hard = store->Restored().m_hardState;
  const bool other = hard.replica != aOptions.m_replica.m_replica ||
                     hard.cluster != aOptions.m_replica.m_cluster;
  if (hard.replica != 0 && other) {
    aReason.Set(ControlServiceError::StoreForeign,
                "data folder " + aFolder + ": belongs to replica " +
                  std::to_string(hard.replica) + " of cluster " +
                  std::to_string(hard.cluster));
    return nullptr;
  }
  std::unique_ptr<ReplicaCore> core(
    new ReplicaCore(std::move(store), aOptions, aNow, aListener));
  if (!core->RestoreState(aReason)) {
    return nullptr;
  }
  if (aBootstrap && !core->BootstrapLog(*aBootstrap, aReason)) {
    return nullptr;
  }
  return core;
}

ReplicaCore::ReplicaCore(std::unique_ptr<LogStore> aStore,
                         const ReplicaCoreOptions& aOptions,
                         TimePoint aNow,
                         ReplicaCoreListener& aListener)
  : m_options(aOptions)
  , m_listener(aListener)
  , m_store(std::move(aStore))
  , m_replica(aOptions.m_replica, m_store->TakeRestored(), aNow)
  , m_dueLogBytes(AllowedLogGrowth())
{
}

bool
ReplicaCore::RestoreState(ControlServiceReason& aReason)
{
  StoreReason storeReason;
  const auto image = m_store->ReadSnapshot(storeReason);
  if (!image) {
    if (storeReason.m_code == StoreError::None) {
      return true;
    }
    aReason.Set(ToServiceError(storeReason.m_code), storeReason.m_text);
    return false;
  }
  if (!m_state.Restore(*image)) {
    // Its checksum is right: the state may be that of a newer version.
    aReason.Set(ControlServiceError::StoreForeign,
                "snapshot: " + m_state.LastReason().m_text);
    return false;
  }
  m_snapshotIndex = m_store->Snapshot()->index;
  m_applied = m_snapshotIndex;
  return true;
}

bool
ReplicaCore::BootstrapLog(const consensus::MembershipT& aMembership,
                          ControlServiceReason& aReason)
{
  if (m_replica.LastIndex() != 0) {
    return true;
  }
  const ReplicaOptions& own = m_options.m_replica;
  if (!m_store->MarkBootstrap(own.m_replica, own.m_cluster)) {
    const StoreReason& why = m_store->LastReason();
    aReason.Set(ToServiceError(why.m_code), why.m_text);
    return false;
  }
  if (!m_replica.Bootstrap(aMembership)) {
    aReason.Set(ControlServiceError::BadOption,
                "bootstrap members: " + m_replica.LastReason().m_text);
    return false;
  }
  return true;
}

bool
ReplicaCore::ProcessReady(TimePoint aNow)
{
  while (!m_failed && m_replica.HasReady()) {
    Ready ready = m_replica.TakeReady();
    Send(ready.m_earlyMessages);
    if (ready.NeedsSync()) {
      if (!Store(ready)) {
        return ReportStoreFailure();
      }
      m_replica.Persisted(aNow);
    }
    Send(ready.m_messages);
    for (const consensus::EntryT& entry : ready.m_committed) {
      Apply(entry);
    }
    for (const FollowerReport& report : ready.m_reports) {
      m_listener.OnReport(report);
    }
    for (const ReadState& read : ready.m_reads) {
      m_reads.Answer(read);
    }
    for (const SnapshotChunkRequest& request : ready.m_chunkRequests) {
      SendChunk(request);
    }
    for (SnapshotChunk& chunk : ready.m_chunks) {
      if (!InstallChunk(aNow, chunk)) {
        return ReportStoreFailure();
      }
    }
    m_reads.Advance(m_applied);
  }
  return !m_failed && (TakeSnapshotIfDue() || ReportStoreFailure());
}

bool
ReplicaCore::Store(const Ready& aReady)
{
  if (aReady.m_hardState && !m_store->SaveHardState(*aReady.m_hardState)) {
    return false;
  }
  if (!aReady.m_entries.empty() && !m_store->Append(aReady.m_entries)) {
    return false;
  }
  return m_store->Sync();
}

void
ReplicaCore::Send(std::vector<consensus::PeerMessageT>& aMessages)
{
  for (consensus::PeerMessageT& message : aMessages) {
    m_listener.SendToPeer(std::move(message));
  }
}

void
ReplicaCore::Apply(const consensus::EntryT& aEntry)
{
  if (m_failed || aEntry.index <= m_applied) {
    return;
  }
  if (aEntry.kind > consensus::EntryKind::MAX) {
    Halt("cannot decode log entry " + std::to_string(aEntry.index) +
         ": its kind is that of a newer build");
    return;
  }
  if (aEntry.kind == consensus::EntryKind::Command) {
    if (!ApplyCommand(aEntry)) {
      return;
    }
  } else {
    state::CommandResultT done;
    done.index = aEntry.index;
    m_proposals.Resolve(aEntry.index, aEntry.term, done);
  }
  m_applied = aEntry.index;
}

bool
ReplicaCore::ApplyCommand(const consensus::EntryT& aEntry)
{
  StateReason reason;
  const auto command =
    DecodeCommand(aEntry.data.data(), aEntry.data.size(), reason);
  if (command && FindCommandLevel(*command) > m_options.m_featureLevel) {
    reason.Set(StateError::Unreadable,
               "command: feature level is above " +
                 std::to_string(m_options.m_featureLevel));
  }
  if (!command || reason.m_code != StateError::None) {
    Halt("cannot decode log entry " + std::to_string(aEntry.index) + ": " +
         reason.m_text);
    return false;
  }
  const auto result = m_state.Apply(aEntry.index, aEntry.term, *command);
  m_applied = aEntry.index;
  if (result.code == state::ResultCode::Ok && AffectsConfig(*command)) {
    m_listener.OnConfigChanged(aEntry.index, *command);
  }
  m_proposals.Resolve(aEntry.index, aEntry.term, result);
  return true;
}

bool
ReplicaCore::InstallChunk(TimePoint aNow, SnapshotChunk& aChunk)
{
  auto snapshot = m_assembler.Add(std::move(aChunk.m_chunk));
  return !snapshot || InstallState(aNow, std::move(*snapshot));
}

bool
ReplicaCore::InstallState(TimePoint aNow, ReceivedSnapshot aSnapshot)
{
  if (aSnapshot.m_meta.index <= m_applied) {
    m_replica.SnapshotInstalled(aNow, std::move(aSnapshot.m_meta));
    return true;
  }
  const bool isComplete = aSnapshot.m_meta.size == aSnapshot.m_state.size();
  if (!isComplete || !m_state.Restore(aSnapshot.m_state)) {
    if (m_state.LastReason().m_code == StateError::Unreadable) {
      Halt("cannot read the snapshot of log entry " +
           std::to_string(aSnapshot.m_meta.index) + ": " +
           m_state.LastReason().m_text);
      return true;
    }
    m_replica.SnapshotRejected(aNow);
    return true;
  }
  if (!m_store->InstallSnapshot(
        aSnapshot.m_meta, aSnapshot.m_state, /*aKeepTail=*/false)) {
    return false;
  }
  RecordSnapshot(aSnapshot.m_meta.index);
  m_applied = m_snapshotIndex;
  m_proposals.FailAll();
  m_replica.SnapshotInstalled(aNow, std::move(aSnapshot.m_meta));
  m_listener.OnStateReplaced();
  return true;
}

void
ReplicaCore::SendChunk(const SnapshotChunkRequest& aRequest)
{
  const auto meta = m_store->Snapshot();
  if (!meta || meta->index != aRequest.m_index) {
    return;
  }
  auto data = m_store->ReadSnapshotPiece(
    aRequest.m_offset, m_options.m_replica.m_snapshotChunkBytes);
  if (!data) {
    return;
  }
  consensus::InstallSnapshotT chunk;
  chunk.meta = std::make_unique<consensus::SnapshotMetaT>(*meta);
  chunk.offset = aRequest.m_offset;
  chunk.last = aRequest.m_offset + data->size() >= meta->size;
  chunk.data = std::move(*data);
  m_replica.SendSnapshotChunk(aRequest.m_to, std::move(chunk));
}

std::uint64_t
ReplicaCore::CountStoredBytes() const
{
  const auto snapshot = m_store->Snapshot();
  return m_store->LogBytes() + (snapshot ? snapshot->size : 0);
}

bool
ReplicaCore::IsSnapshotDue() const
{
  const std::uint64_t entries = m_applied - m_snapshotIndex;
  return entries > 0 && (entries >= m_options.m_snapshotEntries ||
                         m_store->LogBytes() >= m_dueLogBytes);
}

std::uint64_t
ReplicaCore::AllowedLogGrowth() const
{
  const auto last = m_store->Snapshot();
  return std::clamp(last ? last->size * kLogBytesPerStateByte : 0,
                    m_options.m_minSnapshotLogBytes,
                    m_options.m_maxSnapshotLogBytes);
}

void
ReplicaCore::RecordSnapshot(std::uint64_t aIndex)
{
  m_snapshotIndex = aIndex;
  m_dueLogBytes = m_store->LogBytes() + AllowedLogGrowth();
}

bool
ReplicaCore::TakeSnapshotIfDue()
{
  if (!IsSnapshotDue()) {
    return true;
  }
  const auto meta = m_replica.DescribeSnapshot(m_applied);
  if (!meta) {
    return true;
  }
  if (!m_store->InstallSnapshot(
        *meta, m_state.TakeImage(), /*aKeepTail=*/true)) {
    return false;
  }
  RecordSnapshot(meta->index);
  m_replica.Compact(*m_store->Snapshot());
  return true;
}

bool
ReplicaCore::ReportStoreFailure()
{
  if (!m_failed) {
    m_failed = true;
    m_listener.OnFatal("store: " + m_store->LastReason().m_text);
  }
  return false;
}

void
ReplicaCore::Halt(const std::string& aText)
{
  // Skipping what cannot be read would make this replica's state differ from
  // the state of the other replicas.
  m_failed = true;
  m_listener.OnUnreadable(aText);
}

ProposalIntake
ReplicaCore::Propose(TimePoint aNow,
                     const state::CommandT& aCommand,
                     PendingProposals::Handler aHandler)
{
  if (const auto index = m_replica.Propose(aNow, EncodeCommand(aCommand))) {
    m_proposals.Add(*index, m_replica.Term(), std::move(aHandler));
    return ProposalIntake::Taken;
  }
  return m_replica.LastReason().m_code == ReplicaError::Full
           ? ProposalIntake::Full
           : ProposalIntake::NotLeader;
}

bool
ReplicaCore::ProposeMembership(TimePoint aNow,
                               consensus::MembershipT aNext,
                               PendingProposals::Handler aHandler)
{
  const auto index = m_replica.ProposeMembership(aNow, std::move(aNext));
  if (index) {
    m_proposals.Add(*index, m_replica.Term(), std::move(aHandler));
  }
  return index.has_value();
}

void
ReplicaCore::Read(TimePoint aNow,
                  consensus::ReadIndexT aReport,
                  PendingReads::Handler aHandler)
{
  aReport.id = m_reads.Add(std::move(aHandler));
  m_replica.ReadIndex(aNow, std::move(aReport));
}

} // namespace parsleycove
