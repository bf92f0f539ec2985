// The part of ReplicaNode that sends to peers and publishes what is kept.
#include "Control/ReplicaNode.h"

#include "Wire/MessageCodec.h"

namespace parsleycove {

void
ReplicaNode::SendToPeer(consensus::PeerMessageT aMessage)
{
  if (auto* reply = aMessage.body.AsReadIndexReply()) {
    reply->in_force = m_inForceIndex;
    reply->gateways = CountGateways();
  }
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

} // namespace parsleycove
