// Options of a control replica.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/Reason.h"
#include "Base/SocketAddress.h"
#include "State/CommandLevel.h"

namespace parsleycove {

enum class ControlServiceError
{
  None,
  BadOption,
  CannotListen,
  Store,        // the data folder cannot be used now; it may be sound
  StoreDamaged, // the data folder has lost what was synced
  StoreForeign, // the data folder is not this replica's, or cannot be decoded
};
using ControlServiceReason = Reason<ControlServiceError>;

enum class ControlLogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

using ControlLog = std::function<void(ControlLogLevel, const std::string&)>;

// A member of the initial membership of a new cluster.
struct ReplicaSeed
{
  std::uint64_t m_replica = 0;
  std::string m_vm;
  std::string m_zone;
  SocketAddress m_address;
};

struct ReplicaServiceOptions
{
  // Identity of the replica. Must not be reused after its data folder was lost.
  std::uint64_t m_replica = 0;
  std::uint64_t m_cluster = 0;
  std::string m_vm;
  std::string m_zone;
  std::string m_dataFolder;
  SocketAddress m_listen;
  // Members of a new cluster, set on its first start only. Ignored if the data
  // folder already holds a log.
  std::vector<ReplicaSeed> m_bootstrap;

  // A routing document is accepted only while the group has at least this many
  // voters.
  std::size_t m_minDocumentVoters = 1;
  // The leader maintains this many voters: it promotes learners up to this
  // number and removes unresponsive voters above it. 0: operators change the
  // members.
  std::size_t m_targetVoters = 0;
  // A voter counts as unresponsive after this long without a message to the
  // leader.
  Duration m_memberTimeout = std::chrono::seconds(3);

  Duration m_heartbeatInterval = std::chrono::milliseconds(100);
  Duration m_electionTimeout = std::chrono::milliseconds(700);
  Duration m_leaderLease = std::chrono::milliseconds(500);
  // Longest time that a gateway uses a copy of the configuration that no quorum
  // has confirmed.
  Duration m_configLease = std::chrono::milliseconds(3000);
  // Interval at which a replica has its copy confirmed by a quorum.
  Duration m_confirmInterval = std::chrono::milliseconds(1000);
  // An endpoint whose lease is not renewed for this long is removed from the
  // registry.
  Duration m_endpointLease = std::chrono::seconds(10);
  // A gateway that no replica reports for this long counts as expired.
  Duration m_gatewayLease = std::chrono::seconds(15);
  // A link that receives nothing for this long is replaced.
  Duration m_linkSilenceLimit = std::chrono::seconds(2);
  Duration m_linkHeartbeat = std::chrono::milliseconds(500);
  std::size_t m_maxFrameBytes = 64UL * 1024 * 1024;
  std::size_t m_maxFeedQueueBytes = 16UL * 1024 * 1024;
  // The link to a peer for which more waits is closed. Entries and snapshot
  // pieces wait while the queue of their peer holds more than the second bound.
  std::size_t m_maxPeerQueueBytes = 16UL * 1024 * 1024;
  std::size_t m_maxPeerBulkBytes = 4UL * 1024 * 1024;
  std::size_t m_maxRingBytes = 4UL * 1024 * 1024;
  // As in ReplicaCoreOptions.
  std::uint64_t m_snapshotEntries = 20000;
  std::uint64_t m_minSnapshotLogBytes = 4UL * 1024 * 1024;
  std::uint64_t m_maxSnapshotLogBytes = 64UL * 1024 * 1024;
  std::uint64_t m_seed = 1;
  // Highest level of commands that the replica reads and states to others (see
  // State/CommandLevel.h); lower values stand in for an older build.
  std::uint32_t m_featureLevel = kFeatureLevel;

  // Called once, on the replica's thread, when the replica cannot continue, for
  // instance because its store failed. Must not call ReplicaService::Stop.
  std::function<void(const std::string&)> m_onFatal;
  ControlLog m_log;
};

} // namespace parsleycove
