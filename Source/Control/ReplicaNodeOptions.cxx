// Derives the options of a replica's components from ReplicaServiceOptions.
#include "Control/ReplicaNodeOptions.h"

#include <utility>

namespace parsleycove {

FeedServerOptions
MakeFeedServerOptions(const ReplicaServiceOptions& aOptions)
{
  FeedServerOptions options;
  options.m_configLease = aOptions.m_configLease;
  options.m_gatewayLease = aOptions.m_gatewayLease;
  options.m_maxRingBytes = aOptions.m_maxRingBytes;
  return options;
}

FrameLinkOptions
MakeInboundLinkOptions(const ReplicaServiceOptions& aOptions)
{
  FrameLinkOptions options;
  options.m_maxFrameBytes = aOptions.m_maxFrameBytes;
  options.m_maxQueueBytes = aOptions.m_maxFeedQueueBytes;
  options.m_heartbeatInterval = aOptions.m_linkHeartbeat;
  options.m_silenceLimit = aOptions.m_linkSilenceLimit;
  return options;
}

PeerLinksOptions
MakePeerLinksOptions(const ReplicaServiceOptions& aOptions)
{
  PeerLinksOptions options;
  options.m_link = MakeInboundLinkOptions(aOptions);
  options.m_link.m_maxQueueBytes = aOptions.m_maxPeerQueueBytes;
  options.m_seed = aOptions.m_seed;
  return options;
}

ReplicaCoreOptions
MakeReplicaCoreOptions(const ReplicaServiceOptions& aOptions)
{
  ReplicaCoreOptions options;
  options.m_replica.m_replica = aOptions.m_replica;
  options.m_replica.m_cluster = aOptions.m_cluster;
  options.m_replica.m_heartbeatInterval = aOptions.m_heartbeatInterval;
  options.m_replica.m_electionTimeout = aOptions.m_electionTimeout;
  options.m_replica.m_leaderLease = aOptions.m_leaderLease;
  options.m_replica.m_seed = aOptions.m_seed;
  options.m_featureLevel = aOptions.m_featureLevel;
  options.m_snapshotEntries = aOptions.m_snapshotEntries;
  options.m_minSnapshotLogBytes = aOptions.m_minSnapshotLogBytes;
  options.m_maxSnapshotLogBytes = aOptions.m_maxSnapshotLogBytes;
  return options;
}

LeaderMaintenanceOptions
MakeLeaderMaintenanceOptions(const ReplicaServiceOptions& aOptions)
{
  LeaderMaintenanceOptions options;
  options.m_configLease = aOptions.m_configLease;
  options.m_endpointLease = aOptions.m_endpointLease;
  options.m_gatewayLease = aOptions.m_gatewayLease;
  return options;
}

consensus::MembershipT
MakeBootstrapMembership(const ReplicaServiceOptions& aOptions)
{
  consensus::MembershipT membership;
  for (const ReplicaSeed& seed : aOptions.m_bootstrap) {
    auto member = std::make_unique<consensus::MemberT>();
    member->replica = seed.m_replica;
    member->vm = seed.m_vm;
    member->zone = seed.m_zone;
    member->address = seed.m_address.m_address;
    member->port = seed.m_address.m_port;
    member->voter = true;
    membership.members.push_back(std::move(member));
  }
  return membership;
}

std::vector<PeerAddress>
ListPeerAddresses(const consensus::MembershipT& aMembers, std::uint64_t aSelf)
{
  std::vector<PeerAddress> peers;
  for (const auto& member : aMembers.members) {
    if (member->replica != aSelf) {
      peers.push_back({ member->replica, { member->address, member->port } });
    }
  }
  return peers;
}

} // namespace parsleycove
