// Derives the settings of a replica's parts from those of the service.
#pragma once

#include <vector>

#include "Control/FeedServer.h"
#include "Control/LeaderMaintenance.h"
#include "Control/ReplicaCore.h"
#include "Control/ReplicaServiceOptions.h"
#include "Wire/PeerLinks.h"

namespace parsleycove {

FeedServerOptions
MakeFeedServerOptions(const ReplicaServiceOptions& aOptions);

FrameLinkOptions
MakeInboundLinkOptions(const ReplicaServiceOptions& aOptions);

PeerLinksOptions
MakePeerLinksOptions(const ReplicaServiceOptions& aOptions);

ReplicaCoreOptions
MakeReplicaCoreOptions(const ReplicaServiceOptions& aOptions);

LeaderMaintenanceOptions
MakeLeaderMaintenanceOptions(const ReplicaServiceOptions& aOptions);

consensus::MembershipT
MakeBootstrapMembership(const ReplicaServiceOptions& aOptions);

// All members but aSelf.
std::vector<PeerAddress>
ListPeerAddresses(const consensus::MembershipT& aMembers, std::uint64_t aSelf);

} // namespace parsleycove
