// What the feed server needs of the replica that it belongs to.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "Base/SocketAddress.h"
#include "Control/ProposalTable.h"
#include "FeedGenerated.h"
#include "State/ReplicatedState.h"

namespace parsleycove {

class FeedBackend
{
public:
  using AdminHandler = std::function<void(feed::AdminReplyT)>;
  using ReadHandler = std::function<void(bool aOk)>;

  virtual ~FeedBackend() = default;

  // False when this replica does not lead: the command was not taken.
  virtual bool ProposeCommand(const state::CommandT& aCommand,
                              ProposalTable::Handler aHandler) = 0;
  // Calls back once the state is current as of now, or cannot be confirmed.
  virtual void ConfirmState(ReadHandler aHandler) = 0;
  virtual void AddMember(const feed::AddReplicaT& aRequest,
                         AdminHandler aHandler) = 0;
  virtual void RemoveMember(std::uint64_t aReplica, AdminHandler aHandler) = 0;

  virtual const ReplicatedState& State() const = 0;
  virtual std::uint64_t AppliedIndex() const = 0;
  virtual std::uint64_t InForceIndex() const = 0;
  // Of the whole fleet; 0 while not known.
  virtual std::uint32_t GatewayCount() const = 0;
  // Empty while no leader is known.
  virtual std::optional<SocketAddress> LeaderAddress() const = 0;
  virtual feed::WelcomeT DescribeGroup() const = 0;
  // Leader, term and members; the server adds its gateways.
  virtual feed::StatusReplyT DescribeStatus() const = 0;
  virtual void RecordRenewals(
    const std::vector<std::unique_ptr<state::EndpointRefT>>& aRenewed) = 0;
  // A gateway acknowledged more than before.
  virtual void OnAcknowledged() = 0;
};

} // namespace parsleycove
