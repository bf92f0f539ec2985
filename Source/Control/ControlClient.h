// A gateway's access to the replicated state through a feed from one replica.
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
  // Start number of this VM's process, increased on each start.
  std::uint64_t m_epoch = 0;
  // Replicas to connect to first; they send the list of the group's members.
  std::vector<SocketAddress> m_seeds;

  // If nothing arrives on a feed for this long, the client reconnects to
  // another replica.
  Duration m_silenceLimit = std::chrono::seconds(2);
  Duration m_linkHeartbeat = std::chrono::milliseconds(500);
  Duration m_pingInterval = std::chrono::seconds(1);
  // If no quorum has confirmed a replica's state for this long, the client
  // reconnects to another replica.
  Duration m_staleLimit = std::chrono::seconds(4);
  // A call without an answer is sent again after this long.
  Duration m_resendInterval = std::chrono::milliseconds(1500);
  Duration m_reconnectInterval = std::chrono::milliseconds(100);
  std::size_t m_maxFrameBytes = 64UL * 1024 * 1024;
  std::size_t m_maxQueueBytes = 16UL * 1024 * 1024;
  std::uint64_t m_seed = 1;
  // False on a VM that runs a control replica, but no gateway.
  bool m_takesCallers = true;
  // Counts the bytes of this client's links unless null; must outlive the
  // client.
  LinkTraffic* m_traffic = nullptr;
};

// Keeps a feed from a replica, preferably in this VM's availability zone, and
// sends proposals to the leader until they are answered or their deadline has
// passed.
class ControlClient final : public ControlPort
{
public:
  explicit ControlClient(const ControlClientOptions& aOptions);
  ~ControlClient() override;
  // Ends the client's thread. Later calls are not answered, and no handler is
  // called any more.
  void Stop();
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
  // Adds replicas to try in addition to the members that the group lists.
  void AddSeeds(std::vector<SocketAddress> aSeeds);
  void RenewEndpoint(const std::string& aId,
                     std::uint64_t aIncarnation) override;
  void AnnounceStopping() override;

private:
  class Thread;

  std::unique_ptr<Thread> m_thread;
};

} // namespace parsleycove
