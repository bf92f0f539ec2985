// Keeps this VM's replica in the membership of the replica group.
#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Control/ReplicaServiceOptions.h"
#include "State/ControlPort.h"

namespace parsleycove {

// Periodically reads the members from the leader and asks to be added if this
// replica is not a member. Two kinds of replicas join this way, both as
// learners: a replica whose disk was lost, which has a new identity, and a
// replica that was removed while it was partitioned, which still has its log.
class GroupMembershipClient
{
public:
  GroupMembershipClient(boost::asio::io_context& aContext,
                        ControlPort& aPort,
                        feed::AddReplicaT aSelf,
                        ControlLog aLog);
  ~GroupMembershipClient();
  GroupMembershipClient(const GroupMembershipClient&) = delete;
  GroupMembershipClient& operator=(const GroupMembershipClient&) = delete;

  // Starts the periodic check. Destroying the object ends the checks.
  void Start();

private:
  struct Impl;

  std::shared_ptr<Impl> m_impl;
};

} // namespace parsleycove
