// Elections: requests pre-votes and votes as a candidate, and answers those of
// other candidates.
#pragma once

#include <cstdint>
#include <set>

#include "Base/Clock.h"
#include "ConsensusGenerated.h"

namespace parsleycove {

class ReplicaState;

// A candidate first requests pre-votes, which do not raise the term. A replica
// that was partitioned from the group therefore does not force a new election
// when it reconnects.
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
  // Counts the candidate's vote for itself, which must be stored first.
  void OnPersisted();
  // Returns whether a quorum has voted for this candidate.
  bool IsWon() const;

private:
  void StartPreVote(TimePoint aNow);
  void StartVote(TimePoint aNow);
  bool HasQuorum() const;
  // Sends the request to all other voters; if aAfterSync, after the next sync.
  template<typename Body>
  void RequestVotes(const Body& aBody, bool aAfterSync);

  ReplicaState& m_state;
  std::set<std::uint64_t> m_granted; // who granted the current (pre-)vote
};

} // namespace parsleycove
