// Keeps this VM's replica a member of the group.
#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Control/ReplicaServiceOptions.h"
#include "State/ControlPort.h"

namespace parsleycove {

// Asks the leader for the members from time to time, and to be added where
// this replica is missing. A replica whose disk was lost has a new identity,
// and one that was removed while it was cut off still has its log; both join
// as learners.
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

  void Start();

private:
  struct Impl;

  std::shared_ptr<Impl> m_impl;
};

} // namespace parsleycove
