// A gateway's access to the replicated state over a feed from one replica.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Base/SocketAddress.h"
#include "State/ControlPort.h"
#include "Wire/LinkTraffic.h"

namespace parsleycove {

struct ControlClientOptions
{
  std::string m_vm;
  std::string m_zone;
  // Start number of this VM's process; higher on each start.
  std::uint64_t m_epoch = 0;
  // Replicas to begin with; the group's own list is learned from them.
  std::vector<SocketAddress> m_seeds;

  // A feed that is silent for this long is replaced by one to another replica.
  Duration m_silenceLimit = std::chrono::seconds(2);
  Duration m_linkHeartbeat = std::chrono::milliseconds(500);
  Duration m_pingInterval = std::chrono::seconds(1);
  // A replica whose copy no quorum has confirmed for this long is left for
  // another one.
  Duration m_staleLimit = std::chrono::seconds(4);
  // A proposal without an answer is sent again after this long.
  Duration m_resendInterval = std::chrono::milliseconds(1500);
  Duration m_reconnectInterval = std::chrono::milliseconds(100);
  std::size_t m_maxFrameBytes = 64UL * 1024 * 1024;
  std::size_t m_maxQueueBytes = 16UL * 1024 * 1024;
  std::uint64_t m_seed = 1;
  // False on a VM that only serves control.
  bool m_takesCallers = true;
  // Counts the bytes of this client's links, unless null; outlives it.
  LinkTraffic* m_traffic = nullptr;
};

// Keeps a feed to a replica, preferably of the own zone, and sends proposals
// to the leader until they are answered or their deadline has passed.
class ControlClient final : public ControlPort
{
public:
  explicit ControlClient(const ControlClientOptions& aOptions);
  ~ControlClient() override;
  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;

  void Propose(state::CommandT aCommand,
               TimePoint aDeadline,
               ProposeHandler aHandler) override;
  void ReadAction(std::string aAccount,
                  std::string aKey,
                  TimePoint aDeadline,
                  ReadActionHandler aHandler) override;
  void ConfirmView(TimePoint aDeadline, ConfirmHandler aHandler) override;
  void ReadStatus(TimePoint aDeadline, StatusHandler aHandler) override;
  void AddReplica(feed::AddReplicaT aRequest,
                  TimePoint aDeadline,
                  AdminHandler aHandler) override;
  void RemoveReplica(std::uint64_t aReplica,
                     TimePoint aDeadline,
                     AdminHandler aHandler) override;

  boost::intrusive_ptr<const ClusterView> View() const override;
  bool HasLease(TimePoint aNow) const override;
  std::uint64_t InForceIndex() const override;
  std::uint32_t GatewayCount() const override;
  // Replicas to try beside those that the group lists.
  void AddSeeds(std::vector<SocketAddress> aSeeds);
  void RenewEndpoint(const std::string& aId,
                     std::uint64_t aIncarnation) override;
  void AnnounceStopping() override;

private:
  class Thread;

  std::unique_ptr<Thread> m_thread;
};

} // namespace parsleycove
