// Which replicas a gateway knows, and which one to turn to next.
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

  // More replicas to try; the others stay.
  void AddSeeds(const std::vector<SocketAddress>& aSeeds);
  // Takes over the group's own list; seeds outside of it stay as a last resort.
  void ApplyWelcome(const feed::WelcomeT& aWelcome);
  void SetLeader(std::optional<SocketAddress> aLeader);
  const std::optional<SocketAddress>& Leader() const { return m_leader; }
  void RecordFailure(TimePoint aNow, const SocketAddress& aAddress);

  // Prefers replicas that have not failed lately, then the own zone, then the
  // group's own list; random among equals, so that gateways spread.
  std::optional<SocketAddress> Pick(TimePoint aNow);
  // True when aCurrent is in another zone and a sound replica is in this one.
  bool HasCloserReplica(TimePoint aNow, const SocketAddress& aCurrent) const;

private:
  struct Candidate
  {
    SocketAddress m_address;
    std::string m_zone;
    bool m_isMember = false; // by the group itself
    std::optional<TimePoint> m_failedAt;
  };

  Candidate* Find(const SocketAddress& aAddress);
  const Candidate* Find(const SocketAddress& aAddress) const;
  int Rank(TimePoint aNow, const Candidate& aCandidate) const;

  const std::string m_zone;
  std::vector<Candidate> m_candidates;
  std::optional<SocketAddress> m_leader;
  std::mt19937_64 m_random;
};

} // namespace parsleycove
