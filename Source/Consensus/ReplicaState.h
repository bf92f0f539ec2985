// State that the roles of a replica share: log, term, role and outgoing work.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <utility>

#include "Consensus/MembershipHistory.h"
#include "Consensus/RaftLog.h"
#include "Consensus/ReadIndexQueue.h"
#include "Consensus/Replica.h"

namespace parsleycove {

class ReplicaState
{
public:
  ReplicaState(const ReplicaOptions& aOptions,
               RestoredLog aRestored,
               TimePoint aNow);

  std::uint64_t Self() const { return m_options.m_replica; }
  bool IsLeader() const { return m_role == ReplicaRole::Leader; }
  bool IsSelfVoter() const;
  // Returns whether this replica must deny votes, since a leader may hold a
  // lease that counts on this replica: the replica leads itself, it has heard
  // from a leader within the minimum election timeout, or it started less than
  // that time ago. Also true for an empty log: a voter of a group has an empty
  // log only if it lost its disk.
  bool MustDenyVotes(TimePoint aNow) const;

  void SetTerm(std::uint64_t aTerm, std::uint64_t aVote);
  // Becomes a follower of aLeader (0 if unknown). A higher term resets the
  // vote. All pending reads fail if the role, the term or the leader changes.
  void BecomeFollower(TimePoint aNow,
                      std::uint64_t aTerm,
                      std::uint64_t aLeader);
  void RecordLeaderContact(TimePoint aNow);
  void RestartElectionTimer(TimePoint aNow);

  void AppendEntry(consensus::EntryT aEntry);
  void TruncateFrom(std::uint64_t aIndex);

  // Sends a message that depends on stored data, after the next sync.
  template<typename Body>
  void SendAfterSync(std::uint64_t aTo, Body aBody)
  {
    m_out.m_messages.push_back(Address(aTo, std::move(aBody)));
  }
  // Sends a message that does not depend on unsynced data.
  template<typename Body>
  void SendImmediately(std::uint64_t aTo, Body aBody)
  {
    m_out.m_earlyMessages.push_back(Address(aTo, std::move(aBody)));
  }

  void AnswerRead(const WaitingRead& aRead, bool aOk);
  // Fails all reads that were requested at aRequestedUntil or before.
  void FailReads(TimePoint aRequestedUntil);

  const ReplicaOptions m_options;
  RaftLog m_log;
  MembershipHistory m_members;
  consensus::HardStateT m_hard;
  bool m_hardChanged = false;
  bool m_syncing = false; // a Ready waits for its Persisted call
  ReplicaRole m_role = ReplicaRole::Follower;
  std::uint64_t m_leader = 0;
  TimePoint m_electionDeadline{};
  ReadIndexQueue m_reads;
  Ready m_out;

private:
  template<typename Body>
  consensus::PeerMessageT Address(std::uint64_t aTo, Body aBody) const
  {
    consensus::PeerMessageT message;
    message.cluster = m_options.m_cluster;
    message.from = m_options.m_replica;
    message.to = aTo;
    message.body.Set(std::move(aBody));
    return message;
  }

  std::mt19937_64 m_random;
  TimePoint m_denyVotesUntil;
};

} // namespace parsleycove
