// The control replicas that a gateway knows. Selects the replica for the next
// feed.
#include "Control/ReplicaDirectory.h"

#include <algorithm>
#include <utility>

namespace parsleycove {

namespace {

// A failed replica is avoided for this long if another one is known.
constexpr std::chrono::seconds kAvoidFailedReplicaS{ 10 };

} // namespace

ReplicaDirectory::ReplicaDirectory(const std::vector<SocketAddress>& aSeeds,
                                   std::string aZone,
                                   std::uint64_t aSeed)
  : m_zone(std::move(aZone))
  , m_random(aSeed)
{
  AddSeeds(aSeeds);
}

void
ReplicaDirectory::AddSeeds(const std::vector<SocketAddress>& aSeeds)
{
  for (const SocketAddress& seed : aSeeds) {
    if (Find(seed) == nullptr) {
      m_candidates.push_back({ seed, {}, false, std::nullopt });
    }
  }
}

void
ReplicaDirectory::ApplyWelcome(const feed::WelcomeT& aWelcome)
{
  if (!aWelcome.leader_address.empty()) {
    m_leader = { aWelcome.leader_address, aWelcome.leader_port };
  }
  if (aWelcome.peers.empty()) {
    return;
  }
  for (Candidate& candidate : m_candidates) {
    candidate.m_isMember = false;
  }
  for (const auto& peer : aWelcome.peers) {
    const SocketAddress address{ peer->address, peer->port };
    if (Find(address) == nullptr) {
      m_candidates.push_back({ address, {}, false, std::nullopt });
    }
    Candidate& candidate = *Find(address);
    candidate.m_zone = peer->zone;
    candidate.m_isMember = true;
  }
}

void
ReplicaDirectory::SetLeader(std::optional<SocketAddress> aLeader)
{
  m_leader = std::move(aLeader);
}

void
ReplicaDirectory::ApplyAnswer(const feed::FeedBodyUnion& aAnswer)
{
  const auto* proposal = aAnswer.AsProposeReply();
  const auto* admin = aAnswer.AsAdminReply();
  if (proposal != nullptr &&
      proposal->status == feed::ProposeStatus::NotLeader) {
    AdoptLeader(proposal->leader_address, proposal->leader_port);
  } else if (admin != nullptr && admin->not_leader) {
    AdoptLeader(admin->leader_address, admin->leader_port);
  }
}

void
ReplicaDirectory::AdoptLeader(const std::string& aAddress, std::uint16_t aPort)
{
  if (aAddress.empty()) {
    m_leader.reset();
  } else {
    m_leader = { aAddress, aPort };
  }
}

void
ReplicaDirectory::RecordFailure(TimePoint aNow, const SocketAddress& aAddress)
{
  if (Candidate* candidate = Find(aAddress)) {
    candidate->m_failedAt = aNow;
  }
}

std::optional<SocketAddress>
ReplicaDirectory::Pick(TimePoint aNow)
{
  if (m_candidates.empty()) {
    return std::nullopt;
  }
  std::shuffle(m_candidates.begin(), m_candidates.end(), m_random);
  const auto best =
    std::min_element(m_candidates.begin(),
                     m_candidates.end(),
                     [&](const Candidate& aLeft, const Candidate& aRight) {
                       const int left = Rank(aNow, aLeft);
                       const int right = Rank(aNow, aRight);
                       // Of equally ranked failed replicas, the one whose
                       // failure is the oldest.
                       return left != right
                                ? left < right
                                : aLeft.m_failedAt < aRight.m_failedAt;
                     });
  return best->m_address;
}

bool
ReplicaDirectory::HasCloserReplica(TimePoint aNow,
                                   const SocketAddress& aCurrent) const
{
  const Candidate* current = Find(aCurrent);
  if (current == nullptr || current->m_zone == m_zone) {
    return false;
  }
  return std::any_of(
    m_candidates.begin(), m_candidates.end(), [&](const Candidate& aCandidate) {
      return Rank(aNow, aCandidate) == 0;
    });
}

int
ReplicaDirectory::Rank(TimePoint aNow, const Candidate& aCandidate) const
{
  const bool failed = aCandidate.m_failedAt &&
                      aNow - *aCandidate.m_failedAt < kAvoidFailedReplicaS;
  // Failed replicas are tried in turn, in all zones: the one in the own zone
  // may be down while others serve again.
  const int distance = failed || aCandidate.m_zone == m_zone ? 0 : 1;
  return (failed ? 4 : 0) + (aCandidate.m_isMember ? 0 : 2) + distance;
}

ReplicaDirectory::Candidate*
ReplicaDirectory::Find(const SocketAddress& aAddress)
{
  for (Candidate& candidate : m_candidates) {
    if (candidate.m_address == aAddress) {
      return &candidate;
    }
  }
  return nullptr;
}

const ReplicaDirectory::Candidate*
ReplicaDirectory::Find(const SocketAddress& aAddress) const
{
  for (const Candidate& candidate : m_candidates) {
    if (candidate.m_address == aAddress) {
      return &candidate;
    }
  }
  return nullptr;
}

} // namespace parsleycove
