// What the parts of a replica share: log, term, role and outgoing work.
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
  // True while a live leader may hold a lease that rests on this replica: it
  // leads itself, has heard from a leader within the minimum election time-out
  // or has not run for that long. Also true for an empty log: no voter of a
  // group has one, unless it lost its disk.
  bool MustDenyVotes(TimePoint aNow) const;

  void SetTerm(std::uint64_t aTerm, std::uint64_t aVote);
  // Ends any other role; a higher term forgets the vote. All reads fail when
  // the role, the term or the leader changes.
  void BecomeFollower(TimePoint aNow,
                      std::uint64_t aTerm,
                      std::uint64_t aLeader);
  void RecordLeaderContact(TimePoint aNow);
  void RestartElectionTimer(TimePoint aNow);

  void AppendEntry(consensus::EntryT aEntry);
  void TruncateFrom(std::uint64_t aIndex);

  // Sends what promises stored data, after the sync.
  template<typename Body>
  void SendAfterSync(std::uint64_t aTo, Body aBody)
  {
    m_out.m_messages.push_back(Address(aTo, std::move(aBody)));
  }
  // Sends what rests on nothing unsynced.
  template<typename Body>
  void SendImmediately(std::uint64_t aTo, Body aBody)
  {
    m_out.m_earlyMessages.push_back(Address(aTo, std::move(aBody)));
  }

  void AnswerRead(const WaitingRead& aRead, bool aOk);
  // Fails every read that began then or before.
  void FailReads(TimePoint aRequestedUntil);

  const ReplicaOptions m_options;
  RaftLog m_log;
  MembershipHistory m_members;
  consensus::HardStateT m_hard;
  bool m_hardChanged = false;
  bool m_syncing = false; // a Ready is at the store; Persisted will follow
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
