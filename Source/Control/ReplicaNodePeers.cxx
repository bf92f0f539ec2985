// The part of ReplicaNode that exchanges messages with peers, agrees with them
// on the feature level of the log's commands and publishes what is kept.
#include "Control/ReplicaNode.h"

#include <algorithm>
#include <utility>

#include "State/CommandLevel.h"
#include "Wire/MessageCodec.h"

namespace parsleycove {

namespace {

constexpr std::chrono::seconds kHaltLineS{ 5 };

} // namespace

void
ReplicaNode::OnPeerMessage(const consensus::PeerMessageT& aMessage)
{
  const bool mine = aMessage.cluster == m_options.m_cluster &&
                    aMessage.to == m_options.m_replica;
  if (m_closed || !mine) {
    return;
  }
  if (const auto* reply = aMessage.body.AsReadIndexReply();
      reply != nullptr && reply->ok) {
    m_inForceIndex = std::max(m_inForceIndex, reply->in_force);
    m_gatewayCount.RecordLeaderCount(BootClock::now(), reply->gateways);
    m_level.RecordLeaderWord(aMessage.from, reply->group_level);
  }
  m_level.RecordMember(aMessage.from, aMessage.feature_level);
  m_repair.RecordMessage(BootClock::now(), aMessage.from);
  m_core->Step(BootClock::now(), aMessage);
  RequestProcessing();
}

void
ReplicaNode::SendToPeer(consensus::PeerMessageT aMessage)
{
  if (auto* reply = aMessage.body.AsReadIndexReply()) {
    reply->in_force = m_inForceIndex;
    reply->gateways = CountGateways();
    reply->group_level = GroupLevel();
  }
  aMessage.feature_level = m_options.m_featureLevel;
  const std::uint64_t replica = aMessage.to;
  if (!m_peerQueueLimit.Admit(m_peers.CountQueuedBytes(replica), aMessage)) {
    return;
  }
  const Frame::Pointer frame = EncodePeerFrame(aMessage);
  if (m_peers.Send(replica, frame)) {
    return;
  }
  if (const auto found = m_peerInbound.find(replica);
      found != m_peerInbound.end()) {
    found->second->Send(frame);
  }
}

void
ReplicaNode::ReportBytes()
{
  const Replica& log = m_core->Log();
  m_byteGauges.m_log = log.CountLogBytes();
  m_byteGauges.m_uncommitted = log.CountUncommittedBytes();
  m_byteGauges.m_queued = m_peers.CountQueuedBytes();
  m_byteGauges.m_history = State().CountHistoryBytes();
  m_byteGauges.m_stored = m_core->CountStoredBytes();
  m_byteGauges.m_heldBack = m_peerQueueLimit.CountHeldBack();
}

std::uint32_t
ReplicaNode::GroupLevel() const
{
  const Replica& log = m_core->Log();
  const std::uint32_t applied = State().FeatureLevel();
  return log.Role() == ReplicaRole::Leader
           ? m_level.AsLeader(log.Members(), applied)
           : m_level.AsFollower(log.Leader(), applied);
}

bool
ReplicaNode::IsReadByGroup(const state::CommandT& aCommand) const
{
  // A kind that this build does not know is that of a newer gateway.
  const auto level = FindCommandLevel(aCommand);
  return level && *level <= GroupLevel();
}

bool
ReplicaNode::UpdateLevel()
{
  const std::uint32_t level = GroupLevel();
  if (level == m_knownLevel) {
    return false;
  }
  m_knownLevel = level;
  m_gauges.m_featureLevel = level;
  Log(ControlLogLevel::Info,
      "group reads commands up to feature level " + std::to_string(level));
  return true;
}

void
ReplicaNode::OnUnreadable(const std::string& aText)
{
  m_gauges.m_isHalted = true;
  Close();
  ReportHalt(aText +
             "; this replica has stopped applying and voting, start a build "
             "that reads it");
}

void
ReplicaNode::ReportHalt(const std::string& aText)
{
  Log(ControlLogLevel::Error, aText);
  m_maintenanceTimer.expires_after(kHaltLineS);
  m_maintenanceTimer.async_wait(
    [this, aText](const boost::system::error_code& aError) {
      if (!aError) {
        ReportHalt(aText);
      }
    });
}

} // namespace parsleycove
