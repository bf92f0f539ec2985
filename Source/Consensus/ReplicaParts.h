// The parts of a replica, and which of them takes which message.
#pragma once

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

  // A frozen process may wake long after its time; so every call looks first.
  void CheckQuorum(TimePoint aNow);
  void Dispatch(TimePoint aNow,
                std::uint64_t aFrom,
                const consensus::PeerBodyUnion& aBody);
  void StartLeadingIfWon(TimePoint aNow);
  // Returns why a membership cannot be proposed now, or nothing.
  std::optional<ReplicaReason> FindChangeRejection(
    TimePoint aNow,
    const consensus::MembershipT& aNext) const;
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
