// The control client of one simulated VM, with the calls that keep its replica
// in the group.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Control/MembershipCheck.h"
#include "Control/ReplicaDirectory.h"

namespace parsleycove::test {

// How a connection to an address stands now.
enum class LinkState
{
  Works,
  Silent,  // cut, or the process at its end is frozen
  Refused, // no process at the address
};

// An answer of a replica; empty while there is none.
using CallAnswer = std::optional<feed::FeedBodyUnion>;

// What a client reaches over the simulated network.
class ModelNetwork
{
public:
  virtual ~ModelNetwork() = default;
  virtual LinkState StateOf(std::size_t aFromVm,
                            const SocketAddress& aTo) const = 0;
  // The replica's list of the group, as it would send it now.
  virtual feed::WelcomeT DescribeGroup(const SocketAddress& aAt) const = 0;
  // Whether a quorum confirms the replica's state now.
  virtual bool IsConfirmed(const SocketAddress& aAt) const = 0;
  // Hands a call to a replica. The answer may be lost.
  virtual CallAnswer ReadStatus(std::size_t aFromVm,
                                const SocketAddress& aAt) = 0;
  virtual CallAnswer AddReplica(std::size_t aFromVm,
                                const SocketAddress& aAt,
                                const feed::AddReplicaT& aSelf) = 0;
  // The answer to an addition that was begun there, once it is decided.
  virtual CallAnswer PollAddition(std::size_t aFromVm) = 0;
};

// Follows ClientNode and GroupMembershipClient: their decisions are those of
// ReplicaDirectory and MembershipCheck, links and timers are simulated here.
class ModelClient
{
public:
  ModelClient(ModelNetwork& aNetwork,
              std::size_t aVm,
              std::string aZone,
              const std::vector<SocketAddress>& aSeeds,
              feed::AddReplicaT aSelf);

  void Step(TimePoint aNow);
  void AddSeeds(const std::vector<SocketAddress>& aSeeds)
  {
    m_directory.AddSeeds(aSeeds);
  }
  const std::string& LastFault() const { return m_lastFault; }

private:
  enum class CallKind
  {
    None,
    Status,
    Join,
  };
  struct Link
  {
    std::optional<SocketAddress> m_to; // std::nullopt: no link
    bool m_open = false;
    TimePoint m_heardAt{};
  };

  void StepFeed(TimePoint aNow);
  void StepLeaderLink(TimePoint aNow);
  void StepCall(TimePoint aNow);
  // Returns false once the link has ended.
  bool UpdateLink(TimePoint aNow, Link& aLink);
  void ConnectFeed(TimePoint aNow);
  void ReplaceFeed(TimePoint aNow, bool aFailed);
  void ApplyWelcome(TimePoint aNow);
  Link& LinkToLeader(TimePoint aNow);
  void StartCall(TimePoint aNow, CallKind aKind);
  void SendCall(TimePoint aNow);
  void OnAnswer(TimePoint aNow, const feed::FeedBodyUnion& aAnswer);
  void EndCall(TimePoint aNow, const MembershipStep& aStep);

  ModelNetwork& m_network;
  const std::size_t m_vm;
  const feed::AddReplicaT m_self;
  MembershipCheck m_check;
  ReplicaDirectory m_directory;
  Link m_feed;
  Link m_leaderLink;
  TimePoint m_reconnectAt{};
  TimePoint m_confirmedAt{};
  std::string m_lastWelcome; // to find out whether the group has changed
  CallKind m_call = CallKind::None;
  TimePoint m_deadline{};
  TimePoint m_nextSendAt{};
  TimePoint m_nextCheckAt{};
  std::string m_lastFault;
};

} // namespace parsleycove::test
