// The parts of a replica: shared state, election, follower and leader roles.
// Dispatches each received message to the part that handles it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Consensus/Election.h"
#include "Consensus/FollowerRole.h"
#include "Consensus/LeaderRole.h"
#include "Consensus/Replica.h"
#include "Consensus/ReplicaState.h"

namespace parsleycove {

struct Replica::Parts
{
  Parts(const ReplicaOptions& aOptions, RestoredLog aRestored, TimePoint aNow);

  // Makes a leader without a quorum step down. Runs before every call, since a
  // process that was frozen may resume long after its lease has expired.
  void CheckQuorum(TimePoint aNow);
  void Dispatch(TimePoint aNow,
                std::uint64_t aFrom,
                const consensus::PeerBodyUnion& aBody);
  void StartLeadingIfWon(TimePoint aNow);
  // Returns why the leader's log does not take a command of this size, or
  // std::nullopt if it does.
  std::optional<ReplicaReason> FindCommandRejection(std::size_t aBytes) const;
  // Returns why the membership cannot be proposed now, or std::nullopt if it
  // can.
  std::optional<ReplicaReason> FindChangeRejection(
    TimePoint aNow,
    const consensus::MembershipT& aNext) const;
  // Returns 0 for a replica that is not a member, and on a follower.
  std::uint64_t MatchIndex(std::uint64_t aReplica) const;

  ReplicaState m_state;
  Election m_election;
  FollowerRole m_follower;
  LeaderRole m_leader;

private:
  void DispatchElection(TimePoint aNow,
                        std::uint64_t aFrom,
                        const consensus::PeerBodyUnion& aBody);
  void DispatchToLeader(TimePoint aNow,
                        std::uint64_t aFrom,
                        const consensus::PeerBodyUnion& aBody);
  void OnReadIndex(TimePoint aNow,
                   std::uint64_t aFrom,
                   const consensus::ReadIndexT& aBody);
};

} // namespace parsleycove
