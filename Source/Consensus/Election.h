// Pre-votes and votes, for oneself and for others.
#pragma once

#include <cstdint>
#include <set>

#include "Base/Clock.h"
#include "ConsensusGenerated.h"

namespace parsleycove {

class ReplicaState;

// A candidate first asks whether it could win, without a new term; so that one
// that was cut off does not disturb the others when it comes back.
class Election
{
public:
  explicit Election(ReplicaState& aState)
    : m_state(aState)
  {
  }

  void Tick(TimePoint aNow);
  void OnPreVote(TimePoint aNow,
                 std::uint64_t aFrom,
                 const consensus::PreVoteT& aBody);
  void OnPreVoteReply(TimePoint aNow,
                      std::uint64_t aFrom,
                      const consensus::PreVoteReplyT& aBody);
  void OnVote(TimePoint aNow,
              std::uint64_t aFrom,
              const consensus::VoteT& aBody);
  void OnVoteReply(TimePoint aNow,
                   std::uint64_t aFrom,
                   const consensus::VoteReplyT& aBody);
  // The own vote counts once it is stored.
  void OnPersisted();
  // True once a quorum voted for this candidate.
  bool IsWon() const;

private:
  void StartPreVote(TimePoint aNow);
  void StartVote(TimePoint aNow);
  bool HasQuorum() const;
  template<typename Body>
  void RequestVotes(const Body& aBody, bool aAfterSync);

  ReplicaState& m_state;
  std::set<std::uint64_t> m_granted; // of the current role's round
};

} // namespace parsleycove
