// The control replicas that a gateway knows. Selects the replica for the next
// feed.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/SocketAddress.h"
#include "FeedGenerated.h"

namespace parsleycove {

class ReplicaDirectory
{
public:
  ReplicaDirectory(const std::vector<SocketAddress>& aSeeds,
                   std::string aZone,
                   std::uint64_t aSeed);

  // Adds replicas to try; those known already stay.
  void AddSeeds(const std::vector<SocketAddress>& aSeeds);
  // Adopts the group's list of members. Seeds that are not members stay as a
  // fallback.
  void ApplyWelcome(const feed::WelcomeT& aWelcome);
  void SetLeader(std::optional<SocketAddress> aLeader);
  const std::optional<SocketAddress>& Leader() const { return m_leader; }
  // Adopts what a replica's answer to a call tells about the leader.
  void ApplyAnswer(const feed::FeedBodyUnion& aAnswer);
  void RecordFailure(TimePoint aNow, const SocketAddress& aAddress);

  // Prefers replicas without a recent failure, then members of the group, then
  // this VM's zone; of those that have failed, the one whose failure is the
  // oldest. Chooses at random among equal replicas, so that gateways spread
  // over them. Returns std::nullopt if no replica is known.
  std::optional<SocketAddress> Pick(TimePoint aNow);
  // Returns true if aCurrent is in another zone and a member of the group in
  // this VM's zone has not failed recently.
  bool HasCloserReplica(TimePoint aNow, const SocketAddress& aCurrent) const;

private:
  struct Candidate
  {
    SocketAddress m_address;
    std::string m_zone;
    bool m_isMember = false; // on the group's list of members
    std::optional<TimePoint> m_failedAt;
  };

  // An empty address means that the replica knows no leader.
  void AdoptLeader(const std::string& aAddress, std::uint16_t aPort);
  Candidate* Find(const SocketAddress& aAddress);
  const Candidate* Find(const SocketAddress& aAddress) const;
  int Rank(TimePoint aNow, const Candidate& aCandidate) const;

  const std::string m_zone;
  std::vector<Candidate> m_candidates;
  std::optional<SocketAddress> m_leader;
  std::mt19937_64 m_random;
};

} // namespace parsleycove
