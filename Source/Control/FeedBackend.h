// The interface through which a feed server uses its replica.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Base/SocketAddress.h"
#include "Control/PendingProposals.h"
#include "FeedGenerated.h"
#include "State/ReplicatedState.h"

namespace parsleycove {

class FeedBackend
{
public:
  using AdminHandler = std::function<void(feed::AdminReplyT)>;
  using ReadHandler = std::function<void(bool aOk)>;

  virtual ~FeedBackend() = default;

  // The handler is called only if the command was taken; a replica that leads
  // takes it only if all members of its group are known to read it. aWhy is set
  // if the log is full.
  virtual ProposalIntake ProposeCommand(const state::CommandT& aCommand,
                                        PendingProposals::Handler aHandler,
                                        std::string& aWhy) = 0;
  // Calls aHandler with true once the applied state is known to be current as
  // of this call, or with false if that cannot be confirmed.
  virtual void ConfirmState(ReadHandler aHandler) = 0;
  virtual void AddMember(const feed::AddReplicaT& aRequest,
                         AdminHandler aHandler) = 0;
  virtual void RemoveMember(std::uint64_t aReplica, AdminHandler aHandler) = 0;

  virtual const ReplicatedState& State() const = 0;
  virtual std::uint64_t AppliedIndex() const = 0;
  virtual std::uint64_t InForceIndex() const = 0;
  // Number of gateways of the whole fleet, or 0 if unknown.
  virtual std::uint32_t CountGateways() const = 0;
  // Returns std::nullopt if no leader is known.
  virtual std::optional<SocketAddress> LeaderAddress() const = 0;
  virtual feed::WelcomeT DescribeGroup() const = 0;
  // Returns leader, term and members; the feed server adds its gateways.
  virtual feed::StatusReplyT DescribeStatus() const = 0;
  virtual void RecordRenewals(
    const std::vector<std::unique_ptr<state::EndpointRefT>>& aRenewed) = 0;
  // Called if the lowest index acknowledged by the gateways has changed.
  virtual void OnAcknowledged() = 0;
};

} // namespace parsleycove
