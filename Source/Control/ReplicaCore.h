// Runs the log, the store and the state machine of one replica.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Consensus/Replica.h"
#include "Control/PendingProposals.h"
#include "Control/PendingReads.h"
#include "Control/ReplicaServiceOptions.h"
#include "Control/SnapshotAssembler.h"
#include "State/CommandLevel.h"
#include "State/ReplicatedState.h"
#include "Store/LogStore.h"

namespace parsleycove {

// Tells an error that may pass from damage and from a folder of another
// replica.
ControlServiceError
ToServiceError(StoreError aError);

struct ReplicaCoreOptions
{
  ReplicaOptions m_replica;
  std::uint32_t m_featureLevel = kFeatureLevel; // see ReplicaServiceOptions
  // A snapshot is written after this many applied entries, or once the log has
  // grown by four times the size of the last snapshot, within these bounds.
  std::uint64_t m_snapshotEntries = 20000;
  std::uint64_t m_minSnapshotLogBytes = 4UL * 1024 * 1024;
  std::uint64_t m_maxSnapshotLogBytes = 64UL * 1024 * 1024;
};

// Receives the messages and events of a ReplicaCore.
class ReplicaCoreListener
{
public:
  virtual ~ReplicaCoreListener() = default;
  virtual void SendToPeer(consensus::PeerMessageT aMessage) = 0;
  // Called after a command that changes the configuration was applied.
  virtual void OnConfigChanged(std::uint64_t aIndex,
                               const state::CommandT& aCommand) = 0;
  // Called after a received snapshot replaced the whole state.
  virtual void OnStateReplaced() = 0;
  // Called for each report that a follower sent to this leader.
  virtual void OnReport(const FollowerReport& aReport) = 0;
  // Called when the replica cannot continue. The core must not be called
  // afterwards.
  virtual void OnFatal(const std::string& aText) = 0;
  // Called when a committed command or a received snapshot is of a newer build.
  // The store is sound; only a newer build can continue with it. The core must
  // not be called afterwards.
  virtual void OnUnreadable(const std::string& aText) = 0;
};

// Processes the output of a Replica: stores and syncs all ready entries as one
// group, sends messages, applies committed entries and answers proposals and
// reads. Blocks during the sync and nowhere else. The time passed to a call is
// taken before the sync, so a lease can only be judged too short, never too
// long.
class ReplicaCore
{
public:
  // Opens the data folder and restores the log and the state. aBootstrap is
  // used only if the log is empty. Returns nullptr and sets aReason on failure.
  static std::unique_ptr<ReplicaCore> Open(
    Files& aFiles,
    const std::string& aFolder,
    const ReplicaCoreOptions& aOptions,
    const std::optional<consensus::MembershipT>& aBootstrap,
    TimePoint aNow,
    ReplicaCoreListener& aListener,
    ControlServiceReason& aReason);

  void Tick(TimePoint aNow) { m_replica.Tick(aNow); }
  void Step(TimePoint aNow, const consensus::PeerMessageT& aMessage)
  {
    m_replica.Step(aNow, aMessage);
  }
  // Processes everything that the log has ready. Returns false once the store
  // has failed or an entry could not be applied.
  bool ProcessReady(TimePoint aNow);

  // The handler is called only if the command was taken; otherwise the reason
  // is in Log().LastReason().
  ProposalIntake Propose(TimePoint aNow,
                         const state::CommandT& aCommand,
                         PendingProposals::Handler aHandler);
  // Returns false if the log refuses the change, with the reason in
  // Log().LastReason(); the handler is then not called.
  bool ProposeMembership(TimePoint aNow,
                         consensus::MembershipT aNext,
                         PendingProposals::Handler aHandler);
  // Sends a report to the leader and confirms a read in the same round trip.
  void Read(TimePoint aNow,
            consensus::ReadIndexT aReport,
            PendingReads::Handler aHandler);
  // Ends all proposals with an unknown outcome. Called when the leadership is
  // lost.
  void FailProposals() { m_proposals.FailAll(); }

  const Replica& Log() const { return m_replica; }
  const ReplicatedState& State() const { return m_state; }
  std::uint64_t AppliedIndex() const { return m_applied; }
  // Bytes of the log and of the snapshot on disk.
  std::uint64_t CountStoredBytes() const;

private:
  ReplicaCore(std::unique_ptr<LogStore> aStore,
              const ReplicaCoreOptions& aOptions,
              TimePoint aNow,
              ReplicaCoreListener& aListener);

  bool RestoreState(ControlServiceReason& aReason);
  bool BootstrapLog(const consensus::MembershipT& aMembership,
                    ControlServiceReason& aReason);
  bool Store(const Ready& aReady);
  void Send(std::vector<consensus::PeerMessageT>& aMessages);
  void Apply(const consensus::EntryT& aEntry);
  bool ApplyCommand(const consensus::EntryT& aEntry);
  bool InstallChunk(TimePoint aNow, SnapshotChunk& aChunk);
  bool InstallState(TimePoint aNow, ReceivedSnapshot aSnapshot);
  void SendChunk(const SnapshotChunkRequest& aRequest);
  bool TakeSnapshotIfDue();
  bool IsSnapshotDue() const;
  // Returns the bytes that the log may grow by before the next snapshot.
  std::uint64_t AllowedLogGrowth() const;
  // Records that the store has a snapshot up to this index.
  void RecordSnapshot(std::uint64_t aIndex);
  bool ReportStoreFailure();
  // Ends the work at something that only a newer build reads.
  void Halt(const std::string& aText);

  const ReplicaCoreOptions m_options;
  ReplicaCoreListener& m_listener;
  std::unique_ptr<LogStore> m_store;
  Replica m_replica;
  ReplicatedState m_state;
  // Invariant: m_state contains the log up to and including this index.
  std::uint64_t m_applied = 0;
  std::uint64_t m_snapshotIndex = 0;
  // Size of the stored log, in bytes, at which the next snapshot is due.
  std::uint64_t m_dueLogBytes = 0;
  bool m_failed = false;
  PendingProposals m_proposals;
  PendingReads m_reads;
  SnapshotAssembler m_assembler;
};

} // namespace parsleycove
