// Settings of a control replica.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Base/Reason.h"
#include "Base/SocketAddress.h"

namespace parsleycove {

enum class ControlServiceError
{
  None,
  BadOption,
  CannotListen,
  Store,
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

// A member of the first membership of a new cluster.
struct ReplicaSeed
{
  std::uint64_t m_replica = 0;
  std::string m_vm;
  std::string m_zone;
  SocketAddress m_address;
};

struct ReplicaServiceOptions
{
  // Never used again once its data folder is lost.
  std::uint64_t m_replica = 0;
  std::uint64_t m_cluster = 0;
  std::string m_vm;
  std::string m_zone;
  std::string m_dataFolder;
  SocketAddress m_listen;
  // Only on the first start of a new cluster; a folder that already holds a
  // log ignores it.
  std::vector<ReplicaSeed> m_bootstrap;

  // A document is accepted only while at least this many voters hold the log.
  std::size_t m_minDocumentVoters = 1;
  // The leader keeps this many voters: it promotes learners up to here, and
  // removes voters beyond it that have fallen silent. 0: operators do that.
  std::size_t m_targetVoters = 0;
  // A member that the leader has not heard for this long counts as silent.
  Duration m_memberTimeout = std::chrono::seconds(3);

  Duration m_heartbeatInterval = std::chrono::milliseconds(100);
  Duration m_electionTimeout = std::chrono::milliseconds(700);
  Duration m_leaderLease = std::chrono::milliseconds(500);
  // Longest time that a gateway works on a copy that no quorum confirmed.
  Duration m_configLease = std::chrono::milliseconds(3000);
  // How often a replica has its copy confirmed by a quorum.
  Duration m_confirmInterval = std::chrono::milliseconds(1000);
  // An endpoint that is not renewed for this long leaves the registry.
  Duration m_endpointLease = std::chrono::seconds(10);
  // A gateway that is not heard of for this long counts as gone.
  Duration m_gatewayLease = std::chrono::seconds(15);
  // A silent link is replaced after this long.
  Duration m_linkSilenceLimit = std::chrono::seconds(2);
  Duration m_linkHeartbeat = std::chrono::milliseconds(500);
  std::size_t m_maxFrameBytes = 64UL * 1024 * 1024;
  std::size_t m_maxFeedQueueBytes = 16UL * 1024 * 1024;
  std::size_t m_maxPeerQueueBytes = 64UL * 1024 * 1024;
  std::size_t m_maxRingBytes = 4UL * 1024 * 1024;
  std::uint64_t m_snapshotEntries = 20000;
  std::uint64_t m_snapshotBytes = 64UL * 1024 * 1024;
  std::uint64_t m_seed = 1;

  // Called once, on the replica's thread, when it cannot go on, for instance
  // because its store failed. It must not call Stop.
  std::function<void(const std::string&)> m_onFatal;
  ControlLog m_log;
};

} // namespace parsleycove
