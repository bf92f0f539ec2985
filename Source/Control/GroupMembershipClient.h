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
class GroupMember
{
public:
  GroupMember(boost::asio::io_context& aContext,
              ControlPort& aPort,
              feed::AddReplicaT aSelf,
              ControlLog aLog);
  ~GroupMember();
  GroupMember(const GroupMember&) = delete;
  GroupMember& operator=(const GroupMember&) = delete;

  void Start();

private:
  struct Parts;

  std::shared_ptr<Parts> m_parts;
};

} // namespace parsleycove
