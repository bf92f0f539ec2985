// Decides when the group of replicas needs another voter, and which member it
// can do without.
//
// Pattern: a VM is lost for good, or comes back at its address with an empty
// disk and so with a new identity, and a second loss may follow at once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "Base/Clock.h"
#include "ConsensusGenerated.h"

namespace parsleycove {

struct MembershipRepairOptions
{
  // 0: members are changed by operators only.
  std::size_t m_targetVoters = 0;
  Duration m_memberTimeout = std::chrono::seconds(3);
};

// Used by the leader. A voter goes only once its replacement votes.
class MembershipRepair
{
public:
  explicit MembershipRepair(const MembershipRepairOptions& aOptions);

  // A new term as leader: silence counts from here.
  void Start(TimePoint aNow);
  void RecordMessage(TimePoint aNow, std::uint64_t aReplica);

  // Whether a learner that has caught up should vote.
  bool NeedsVoter(TimePoint aNow,
                  const consensus::MembershipT& aMembers,
                  std::uint64_t aSelf) const;
  // The member to remove next; 0: none.
  std::uint64_t FindMemberToRemove(TimePoint aNow,
                                   const consensus::MembershipT& aMembers,
                                   std::uint64_t aSelf) const;
  std::int64_t MsSinceMessage(TimePoint aNow, std::uint64_t aReplica) const;

private:
  Duration TimeSinceMessage(TimePoint aNow, std::uint64_t aReplica) const;
  bool IsUnresponsive(TimePoint aNow,
                      const consensus::MemberT& aMember,
                      std::uint64_t aSelf) const;

  const MembershipRepairOptions m_options;
  TimePoint m_startedAt{};
  std::unordered_map<std::uint64_t, TimePoint> m_lastMessageAt;
};

} // namespace parsleycove
