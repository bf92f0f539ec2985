// One member of a Raft group, as a state machine without I/O. The caller
// stores, sends and applies what TakeReady returns.
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
  // The membership change may succeed later: an earlier change or the first
  // entry of this term is not committed yet, the learner to promote lags
  // behind, or too few voters answer.
  NotNow,
  Invalid,
  // The command was not taken: too many bytes of the log are not committed.
  Full,
};
using ReplicaReason = Reason<ReplicaError>;

struct ReplicaOptions
{
  std::uint64_t m_replica = 0;
  std::uint64_t m_cluster = 0;
  Duration m_heartbeatInterval = std::chrono::milliseconds(100);
  // A replica that hears from no leader starts an election after a random time
  // between one and two election timeouts.
  Duration m_electionTimeout = std::chrono::milliseconds(700);
  // Duration of the leader lease, counted from the send time of messages that a
  // quorum has answered. Shorter than the election timeout, so that the lease
  // ends before another leader can be elected.
  Duration m_leaderLease = std::chrono::milliseconds(500);
  std::size_t m_maxAppendBytes = 256UL * 1024;
  // A member is sent no further entries while this many appends, or appends
  // with this many bytes of data, are unanswered.
  std::size_t m_maxInflightAppends = 16;
  std::size_t m_maxInflightBytes = 4UL * 1024 * 1024;
  // A leader takes no further commands while this many bytes of its log are not
  // committed. Commands above m_maxAppendBytes may take a half, so that the
  // small ones are still taken. With less than m_maxAppendBytes not committed,
  // one command is taken whatever its size.
  std::size_t m_maxUncommittedBytes = 16UL * 1024 * 1024;
  std::size_t m_snapshotChunkBytes = 256UL * 1024;
  // Largest number of entries before a snapshot's index that stay in memory,
  // for members that lag behind. Their data is no larger than the snapshot,
  // which is sent instead where that is less, or than m_maxAppendBytes.
  std::uint64_t m_compactionTailEntries = 1024;
  // A ReadIndex request that was not confirmed fails after this time.
  Duration m_readTimeout = std::chrono::seconds(2);
  std::uint64_t m_seed = 1;
};

// Contents of the store when the replica starts.
struct RestoredLog
{
  consensus::HardStateT m_hardState;
  std::optional<consensus::SnapshotMetaT> m_snapshot;
  // The entries after the snapshot, with contiguous indices.
  std::vector<consensus::EntryT> m_entries;
};

// Answer to ReadIndex. A read from the state machine is linearizable once the
// state machine has applied the log up to m_index.
struct ReadState
{
  std::uint64_t m_id = 0;
  std::uint64_t m_index = 0;
  bool m_ok = false;
  // When the request was made. Leases that are granted because of the answer
  // start at this time.
  TimePoint m_requestedAt{};
};

// A follower's ReadIndex request, which also carries a report of the follower.
// The caller on the leader evaluates the report.
struct FollowerReport
{
  std::uint64_t m_replica = 0;
  consensus::ReadIndexT m_request;
};

// A snapshot chunk that a member needs. The caller reads the chunk and passes
// it to SendSnapshotChunk.
struct SnapshotChunkRequest
{
  std::uint64_t m_to = 0;
  std::uint64_t m_index = 0;  // last index that the snapshot covers
  std::uint64_t m_offset = 0; // of the chunk in the snapshot, in bytes
};

// A received snapshot chunk, to be stored by the caller. After the last chunk,
// the caller installs the complete snapshot durably and then calls
// SnapshotInstalled.
struct SnapshotChunk
{
  std::uint64_t m_from = 0;
  consensus::InstallSnapshotT m_chunk;
};

// Work for the caller, in this order: store the hard state and the entries and
// sync once; call Persisted and send the messages; apply the committed entries.
//
// TakeReady may be called again between a Ready that needs a sync and the call
// of Persisted. It then returns only work that does not depend on unsynced
// data.
struct Ready
{
  std::optional<consensus::HardStateT> m_hardState;
  // Replace all stored entries from the index of the first one on.
  std::vector<consensus::EntryT> m_entries;
  // Messages that depend on the hard state and entries above (votes, answers to
  // appends). Must be sent only after the sync.
  std::vector<consensus::PeerMessageT> m_messages;
  // Messages that may be sent before the sync, such as heartbeats and appends
  // of a leader.
  std::vector<consensus::PeerMessageT> m_earlyMessages;
  std::vector<consensus::EntryT> m_committed;
  std::vector<ReadState> m_reads;
  std::vector<FollowerReport> m_reports;
  std::vector<SnapshotChunkRequest> m_chunkRequests;
  std::vector<SnapshotChunk> m_chunks;

  bool IsEmpty() const;
  // Returns whether there is data to store, so that Persisted must be called.
  bool NeedsSync() const;
};

// A Raft replica with pre-vote, check quorum, leader lease, ReadIndex,
// snapshots in chunks and membership changes of one member at a time.
//
// Deterministic: every call takes the current time, and no method reads a
// clock, blocks, or uses randomness other than from the seed.
class Replica
{
public:
  Replica(ReplicaOptions aOptions, RestoredLog aRestored, TimePoint aNow);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  // Sets the first membership of a new cluster. Returns false if this
  // replica already has a term or a log, or if the membership is not valid. All
  // founding members must be given the same membership.
  bool Bootstrap(consensus::MembershipT aMembership);

  void Tick(TimePoint aNow);
  void Step(TimePoint aNow, const consensus::PeerMessageT& aMessage);

  // Returns the index that the command will have if it commits in this term, or
  // std::nullopt with LastReason set if this replica is not the leader or its
  // log is full.
  std::optional<std::uint64_t> Propose(TimePoint aNow,
                                       std::vector<std::uint8_t> aCommand);
  // Adds, promotes or removes one member, or changes its address. Returns the
  // index of the entry, or std::nullopt with LastReason set.
  std::optional<std::uint64_t> ProposeMembership(TimePoint aNow,
                                                 consensus::MembershipT aNext);
  // Returns whether this replica leads and no earlier change of the members is
  // under way.
  bool CanChangeMembers() const;
  // Requests the confirmation of a read by a quorum. The answer, also a
  // negative one, comes in Ready::m_reads. A follower forwards the request to
  // the leader.
  void ReadIndex(TimePoint aNow, consensus::ReadIndexT aRequest);

  bool HasReady() const;
  Ready TakeReady();
  // Tells the replica that the caller has synced the data of the last Ready
  // that needed a sync.
  void Persisted(TimePoint aNow);
  // Discards the log up to the index of a stored snapshot of aMeta.size bytes,
  // except for the tail that slow members may need. Does nothing for an index
  // that is not applied yet.
  void Compact(const consensus::SnapshotMetaT& aMeta);
  // Returns index, term and membership for a snapshot of the state at an
  // applied index, or std::nullopt if the log does not hold the index or the
  // index is not applied. The caller adds the size and the checksum.
  std::optional<consensus::SnapshotMetaT> DescribeSnapshot(
    std::uint64_t aIndex) const;
  // Tells the replica that a received snapshot has been stored and applied.
  void SnapshotInstalled(TimePoint aNow, consensus::SnapshotMetaT aMeta);
  // Tells the replica that a received snapshot failed its checksum. The
  // snapshot is then received again from its first byte.
  void SnapshotRejected(TimePoint aNow);
  // Sends a chunk that Ready::m_chunkRequests asked for.
  void SendSnapshotChunk(std::uint64_t aTo, consensus::InstallSnapshotT aChunk);

  ReplicaRole Role() const;
  std::uint64_t Leader() const; // 0 if unknown
  std::uint64_t Term() const;
  std::uint64_t CommitIndex() const;
  std::uint64_t LastIndex() const;
  // Memory of the log's entries, and of those not committed, in bytes.
  std::size_t CountLogBytes() const;
  std::size_t CountUncommittedBytes() const;
  const consensus::MembershipT& Members() const;
  std::uint64_t MatchIndex(std::uint64_t aReplica) const; // 0 if not leader
  // Returns whether this replica is the leader and no other replica can have
  // become leader.
  bool HasLeaderLease(TimePoint aNow) const;
  // Returns when Tick has to be called next.
  TimePoint NextDeadline() const;
  const ReplicaReason& LastReason() const { return m_reason; }

private:
  struct Parts;

  std::unique_ptr<Parts> m_parts;
  ReplicaReason m_reason;
};

} // namespace parsleycove
