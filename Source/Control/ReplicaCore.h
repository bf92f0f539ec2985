// One replica's log, store and state machine, driven together.
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
#include "State/ReplicatedState.h"
#include "Store/LogStore.h"

namespace parsleycove {

struct ReplicaCoreOptions
{
  ReplicaOptions m_replica;
  // A snapshot is taken after this many entries or bytes of the log.
  std::uint64_t m_snapshotEntries = 20000;
  std::uint64_t m_snapshotBytes = 64UL * 1024 * 1024;
};

// What the core needs of its surroundings.
class ReplicaCoreListener
{
public:
  virtual ~ReplicaCoreListener() = default;
  virtual void SendToPeer(consensus::PeerMessageT aMessage) = 0;
  // A command of the configuration took effect.
  virtual void OnConfigChanged(std::uint64_t aIndex,
                               const state::CommandT& aCommand) = 0;
  // The whole state was replaced by a snapshot.
  virtual void OnStateReplaced() = 0;
  virtual void OnReport(const FollowerReport& aReport) = 0;
  // The replica cannot go on; nothing may be called on it any more.
  virtual void OnFatal(const std::string& aText) = 0;
};

// Drives a Replica: stores and syncs what it has ready as one group, sends,
// applies and answers. Blocks for the sync; makes no other wait. The time of a
// call is taken before its sync, so leases are only ever judged too short.
class ReplicaCore
{
public:
  // Opens the folder and replays it. aBootstrap is used for an empty log only.
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
  // Works off everything that is ready. False once the store has failed.
  bool ProcessReady(TimePoint aNow);

  // False when this replica does not lead; the handler is dropped then.
  bool Propose(TimePoint aNow,
               const state::CommandT& aCommand,
               PendingProposals::Handler aHandler);
  // Returns false with the log's reason; the handler is dropped then.
  bool ProposeMembership(TimePoint aNow,
                         consensus::MembershipT aNext,
                         PendingProposals::Handler aHandler);
  // Sends a report to the leader and confirms a read by the same round trip.
  void Read(TimePoint aNow,
            consensus::ReadIndexT aReport,
            PendingReads::Handler aHandler);
  // The leadership was lost: every proposal's outcome is unknown.
  void FailProposals() { m_proposals.FailAll(); }

  const Replica& Log() const { return m_replica; }
  const ReplicatedState& State() const { return m_state; }
  std::uint64_t AppliedIndex() const { return m_applied; }

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
  bool ReportStoreFailure();

  const ReplicaCoreOptions m_options;
  ReplicaCoreListener& m_listener;
  std::unique_ptr<LogStore> m_store;
  Replica m_replica;
  ReplicatedState m_state;
  // Invariant: m_state contains the log up to here.
  std::uint64_t m_applied = 0;
  std::uint64_t m_snapshotIndex = 0;
  bool m_failed = false;
  PendingProposals m_proposals;
  PendingReads m_reads;
  SnapshotAssembler m_assembler;
};

} // namespace parsleycove
