// One member of the replicated log, without input or output of its own.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "Base/Clock.h"
#include "Base/Reason.h"
#include "ConsensusGenerated.h"

namespace parsleycove {

enum class ReplicaRole
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

enum class ReplicaError
{
  None,
  NotLeader,
  // Another membership change is under way, or no entry of this term is
  // committed yet.
  NotNow,
  Invalid,
};
using ReplicaReason = Reason<ReplicaError>;

struct ReplicaOptions
{
  std::uint64_t m_replica = 0;
  std::uint64_t m_cluster = 0;
  Duration m_heartbeatInterval = std::chrono::milliseconds(100);
  // An election starts between one and two of these without a leader.
  Duration m_electionTimeout = std::chrono::milliseconds(700);
  // A leader acts as one for this long after a quorum's round trip began;
  // shorter than the election time-out.
  Duration m_leaderLease = std::chrono::milliseconds(500);
  std::size_t m_maxAppendBytes = 256UL * 1024;
  std::size_t m_maxInflightAppends = 16;
  std::size_t m_snapshotChunkBytes = 256UL * 1024;
  // Entries kept in memory behind a snapshot for members that lag.
  std::uint64_t m_compactionTailEntries = 1024;
  // A read that nobody answered fails after this long.
  Duration m_readTimeout = std::chrono::seconds(2);
  std::uint64_t m_seed = 1;
};

// What the store held at the start.
struct RestoredLog
{
  consensus::HardStateT m_hardState;
  std::optional<consensus::SnapshotMetaT> m_snapshot;
  // Entries that follow the snapshot, without gaps.
  std::vector<consensus::EntryT> m_entries;
};

// Answer to ReadIndex: once the state has applied m_index, a read is current.
struct ReadState
{
  std::uint64_t m_id = 0;
  std::uint64_t m_index = 0;
  bool m_ok = false;
  // When the request began; leases that rest on the answer count from here.
  TimePoint m_requestedAt{};
};

// A follower's ReadIndex with its report, for the leader's own bookkeeping.
struct FollowerReport
{
  std::uint64_t m_replica = 0;
  consensus::ReadIndexT m_request;
};

// A chunk of a snapshot that a member needs; the shell reads and sends it.
struct SnapshotChunkRequest
{
  std::uint64_t m_to = 0;
  std::uint64_t m_index = 0; // index of the snapshot in question
  std::uint64_t m_offset = 0;
};

// A received chunk of a snapshot; the shell stores it, and installs the whole
// durably after the last chunk before it calls SnapshotInstalled.
struct SnapshotChunk
{
  std::uint64_t m_from = 0;
  consensus::InstallSnapshotT m_chunk;
};

// Work for the shell, in this order: store hard state and entries and sync
// once; then call Persisted and send the messages; apply committed entries.
//
// Between a Ready that needs a sync and its Persisted, TakeReady may be called
// again: it then returns only what rests on nothing unsynced.
struct Ready
{
  std::optional<consensus::HardStateT> m_hardState;
  // Replaces everything stored from the first entry's index on.
  std::vector<consensus::EntryT> m_entries;
  // These promise what is stored above; send them only after the sync.
  std::vector<consensus::PeerMessageT> m_messages;
  // Heartbeats and appends of a leader, which may go out before the sync.
  std::vector<consensus::PeerMessageT> m_earlyMessages;
  std::vector<consensus::EntryT> m_committed;
  std::vector<ReadState> m_reads;
  std::vector<FollowerReport> m_reports;
  std::vector<SnapshotChunkRequest> m_chunkRequests;
  std::vector<SnapshotChunk> m_chunks;

  bool IsEmpty() const;
  // Whether there is something to store, so that Persisted must follow.
  bool NeedsSync() const;
};

// A replica of the log by Raft's published rules: pre-vote, check-quorum,
// leader lease, ReadIndex, snapshots in chunks, single-step membership.
//
// Every call takes the current time; nothing here reads a clock, blocks or
// draws randomness other than from the seed.
class Replica
{
public:
  Replica(ReplicaOptions aOptions, RestoredLog aRestored, TimePoint aNow);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  // First membership of a new cluster. Only on an empty log, once. Every
  // founding member must be given the same one.
  bool Bootstrap(consensus::MembershipT aMembership);

  void Tick(TimePoint aNow);
  void Step(TimePoint aNow, const consensus::PeerMessageT& aMessage);

  // Returns the index that the command will have if it commits in this term.
  std::optional<std::uint64_t> Propose(TimePoint aNow,
                                       std::vector<std::uint8_t> aCommand);
  // Adds, promotes or removes one member.
  std::optional<std::uint64_t> ProposeMembership(TimePoint aNow,
                                                 consensus::MembershipT aNext);
  // Asks for a quorum-confirmed read; the answer comes in Ready::m_reads, also
  // a failed one. On a follower the request goes to the leader.
  void ReadIndex(TimePoint aNow, consensus::ReadIndexT aRequest);

  bool HasReady() const;
  Ready TakeReady();
  // The shell has synced what the last TakeReady returned.
  void Persisted(TimePoint aNow);
  // The state covers the log up to here in a stored snapshot; drops the log
  // before it but for a tail that slow members may need.
  void Compact(const consensus::SnapshotMetaT& aMeta);
  // Index, term and membership of a snapshot of the state at an applied index;
  // nothing for an index that is not in the log. The shell adds the size and
  // the checksum.
  std::optional<consensus::SnapshotMetaT> DescribeSnapshot(
    std::uint64_t aIndex) const;
  // A received snapshot has been stored and applied whole.
  void SnapshotInstalled(TimePoint aNow, consensus::SnapshotMetaT aMeta);
  // A received snapshot was not what its checksum says; asks for it again.
  void SnapshotRejected(TimePoint aNow);
  // A requested chunk was read; goes out as a message.
  void SendSnapshotChunk(std::uint64_t aTo, consensus::InstallSnapshotT aChunk);

  ReplicaRole Role() const;
  std::uint64_t Leader() const; // 0: unknown
  std::uint64_t Term() const;
  std::uint64_t CommitIndex() const;
  std::uint64_t LastIndex() const;
  const consensus::MembershipT& Members() const;
  std::uint64_t MatchIndex(std::uint64_t aReplica) const; // leader only
  // True while no other replica can have become leader.
  bool HasLeaderLease(TimePoint aNow) const;
  // When Tick is next worth calling.
  TimePoint NextDeadline() const;
  const ReplicaReason& LastReason() const { return m_reason; }

private:
  struct Parts;

  std::unique_ptr<Parts> m_parts;
  ReplicaReason m_reason;
};

} // namespace parsleycove
