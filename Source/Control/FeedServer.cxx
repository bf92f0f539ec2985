// Serves gateways on behalf of a replica: sends images, deltas and leases, and
// handles proposals and reads.
#include "Control/FeedServer.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "State/CommandLevel.h"
#include "Wire/MessageCodec.h"

namespace parsleycove {

namespace {

// Limit of Pong.confirmed_ago_ms. A value this high tells a gateway only that
// its replica has no quorum.
constexpr Duration kMaxConfirmedAgo = std::chrono::hours(1);

std::uint32_t
ToMs(Duration aDuration)
{
  const auto count =
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

} // namespace

FeedServer::FeedServer(const FeedServerOptions& aOptions, FeedBackend& aBackend)
  : m_backend(aBackend)
  , m_gateways(aOptions.m_configLease, aOptions.m_gatewayLease)
  , m_ring(aOptions.m_maxRingBytes)
{
}

void
FeedServer::OnMessage(TimePoint aNow,
                      const FrameLink::Pointer& aLink,
                      const feed::FeedMessageT& aMessage)
{
  Session& session = m_sessions[aLink.get()];
  session.m_link = aLink;
  const feed::FeedBodyUnion& body = aMessage.body;
  switch (body.type) {
    case feed::FeedBody::Hello:
      HandleHello(aNow, session, *body.AsHello());
      break;
    case feed::FeedBody::Ping:
      HandlePing(aNow, session, *body.AsPing());
      break;
    case feed::FeedBody::Propose:
      Propose(session, *body.AsPropose());
      break;
    case feed::FeedBody::ReadAction:
      ReadAction(session, *body.AsReadAction());
      break;
    case feed::FeedBody::ConfirmRead:
      ConfirmRead(session, *body.AsConfirmRead());
      break;
    case feed::FeedBody::StatusRequest:
      SendStatus(aNow, session, *body.AsStatusRequest());
      break;
    case feed::FeedBody::AddReplica:
      AddReplica(session, *body.AsAddReplica());
      break;
    case feed::FeedBody::RemoveReplica:
      RemoveReplica(session, *body.AsRemoveReplica());
      break;
    default:
      break;
  }
}

void
FeedServer::OnClosed(const FrameLink& aLink)
{
  m_sessions.erase(&aLink);
}

void
FeedServer::HandleHello(TimePoint aNow,
                        Session& aSession,
                        const feed::HelloT& aHello)
{
  aSession.m_vm = aHello.vm;
  aSession.m_epoch = aHello.epoch;
  aSession.m_hasHello = true;
  aSession.m_featureLevel = aHello.feature_level;
  m_gateways.Greet(aNow, aHello);
  aSession.m_link->Send(EncodeFeedBody(m_backend.DescribeGroup()));
  SendConfigSince(aSession, aHello.has_index);
}

void
FeedServer::SendConfigSince(Session& aSession, std::uint64_t aHasIndex)
{
  const bool readsAll = aSession.m_featureLevel >= kFeatureLevel;
  const auto deltas =
    aHasIndex == 0 || !readsAll ? std::nullopt : m_ring.After(aHasIndex);
  if (!deltas) {
    SendImage(aSession);
    return;
  }
  for (const Frame::Pointer& frame : *deltas) {
    aSession.m_link->Send(frame);
  }
}

Frame::Pointer
FeedServer::ImageFrame()
{
  const state::ConfigImageT& config = m_backend.State().Config();
  if (!m_image || m_imageIndex != config.index) {
    feed::ImageT body;
    body.image = std::make_unique<state::ConfigImageT>(config);
    m_image = EncodeFeedBody(std::move(body));
    m_imageIndex = config.index;
  }
  return m_image;
}

void
FeedServer::OnStateReplaced()
{
  m_image.reset();
  m_ring.Reset(m_backend.AppliedIndex());
  for (auto& [link, session] : m_sessions) {
    if (session.m_hasHello) {
      SendImage(session);
    }
  }
}

void
FeedServer::SendImage(Session& aSession)
{
  aSession.m_needsImage = false;
  aSession.m_link->Send(ImageFrame());
}

void
FeedServer::OnConfigChanged(std::uint64_t aIndex,
                            const state::CommandT& aCommand)
{
  feed::DeltaT delta;
  delta.index = aIndex;
  delta.command = std::make_unique<state::CommandT>(aCommand);
  const Frame::Pointer frame = EncodeFeedBody(std::move(delta));
  m_ring.Add(aIndex, frame);
  const std::uint32_t level = FindCommandLevel(aCommand).value_or(0);
  for (auto& [link, session] : m_sessions) {
    if (!session.m_hasHello) {
      continue;
    }
    if (level > session.m_featureLevel) {
      // Sent before the next Pong, so that many such deltas cost one image.
      session.m_needsImage = true;
    } else if (session.m_needsImage) {
      SendImage(session);
    } else {
      session.m_link->Send(frame);
    }
  }
}

void
FeedServer::OnGroupChanged()
{
  const Frame::Pointer frame = EncodeFeedBody(m_backend.DescribeGroup());
  for (auto& [link, session] : m_sessions) {
    if (session.m_hasHello) {
      session.m_link->Send(frame);
    }
  }
}

void
FeedServer::ConfirmRead(TimePoint aNow, const ReadState& aRead)
{
  m_gateways.ConfirmRead(aNow, aRead.m_requestedAt, aRead.m_index);
}

std::uint64_t
FeedServer::ReportMinAppliedIndex(TimePoint aNow)
{
  return m_gateways.TakeReport(aNow, m_backend.AppliedIndex());
}

void
FeedServer::HandlePing(TimePoint aNow,
                       Session& aSession,
                       const feed::PingT& aPing)
{
  if (!aSession.m_hasHello) {
    return;
  }
  if (aSession.m_needsImage) {
    SendImage(aSession);
  }
  m_backend.RecordRenewals(aPing.renewed);
  const std::uint64_t before = MinAppliedIndex(aNow);
  const auto lease =
    m_gateways.Grant(aNow, aSession.m_vm, aSession.m_epoch, aPing);
  if (MinAppliedIndex(aNow) != before) {
    m_backend.OnAcknowledged();
  }
  feed::PongT pong;
  pong.id = aPing.id;
  // Every delta up to this index has been sent on this link before this Pong.
  pong.index = m_backend.AppliedIndex();
  pong.in_force_index = m_backend.InForceIndex();
  pong.gateways = m_backend.CountGateways();
  pong.lease_ms = lease ? ToMs(*lease) : 0;
  pong.confirmed_ago_ms =
    ToMs(std::min(m_gateways.ConfirmedAgo(aNow), kMaxConfirmedAgo));
  aSession.m_link->Send(EncodeFeedBody(pong));
}

void
FeedServer::Propose(const Session& aSession, const feed::ProposeT& aRequest)
{
  feed::ProposeReplyT reply;
  reply.id = aRequest.id;
  reply.status = feed::ProposeStatus::NotLeader;
  if (aRequest.command) {
    const ProposalIntake intake = m_backend.ProposeCommand(
      *aRequest.command,
      [link = aSession.m_link,
       id = aRequest.id](std::optional<state::CommandResultT> aResult) {
        feed::ProposeReplyT done;
        done.id = id;
        done.status =
          aResult ? feed::ProposeStatus::Applied : feed::ProposeStatus::Unknown;
        if (aResult) {
          done.result = std::make_unique<state::CommandResultT>(*aResult);
        }
        link->Send(EncodeFeedBody(std::move(done)));
      },
      reply.text);
    if (intake == ProposalIntake::Taken) {
      return;
    }
    if (intake == ProposalIntake::Full) {
      reply.status = feed::ProposeStatus::Full;
    }
  }
  if (const auto leader = m_backend.LeaderAddress()) {
    reply.leader_address = leader->m_address;
    reply.leader_port = leader->m_port;
  }
  aSession.m_link->Send(EncodeFeedBody(std::move(reply)));
}

void
FeedServer::ReadAction(const Session& aSession,
                       const feed::ReadActionT& aRequest)
{
  m_backend.ConfirmState(
    [this, link = aSession.m_link, request = aRequest](bool aOk) {
      feed::ReadActionReplyT reply;
      reply.id = request.id;
      reply.ok = aOk;
      if (aOk) {
        const state::ActionRecordT* record =
          m_backend.State().FindAction(request.account, request.key);
        reply.found = record != nullptr;
        if (record != nullptr) {
          reply.record = std::make_unique<state::ActionRecordT>(*record);
        }
      }
      link->Send(EncodeFeedBody(std::move(reply)));
    });
}

void
FeedServer::ConfirmRead(const Session& aSession,
                        const feed::ConfirmReadT& aRequest)
{
  m_backend.ConfirmState([link = aSession.m_link, id = aRequest.id](bool aOk) {
    feed::ConfirmReadReplyT reply;
    reply.id = id;
    reply.ok = aOk;
    link->Send(EncodeFeedBody(reply));
  });
}

void
FeedServer::SendStatus(TimePoint aNow,
                       const Session& aSession,
                       const feed::StatusRequestT& aRequest)
{
  feed::StatusReplyT reply = m_backend.DescribeStatus();
  reply.id = aRequest.id;
  for (const GatewayLeaseTable::Gateway& gateway : m_gateways.List()) {
    auto row = std::make_unique<feed::GatewayStatusT>();
    row->vm = gateway.m_vm;
    row->zone = gateway.m_zone;
    row->applied_index = gateway.m_appliedIndex;
    row->lease_left_ms = ToMs(gateway.m_leaseEnd - aNow);
    row->stopping = gateway.m_stopping;
    reply.gateways.push_back(std::move(row));
  }
  aSession.m_link->Send(EncodeFeedBody(std::move(reply)));
}

void
FeedServer::AddReplica(const Session& aSession,
                       const feed::AddReplicaT& aRequest)
{
  m_backend.AddMember(
    aRequest,
    [link = aSession.m_link, id = aRequest.id](feed::AdminReplyT aReply) {
      aReply.id = id;
      link->Send(EncodeFeedBody(std::move(aReply)));
    });
}

void
FeedServer::RemoveReplica(const Session& aSession,
                          const feed::RemoveReplicaT& aRequest)
{
  m_backend.RemoveMember(
    aRequest.replica,
    [link = aSession.m_link, id = aRequest.id](feed::AdminReplyT aReply) {
      aReply.id = id;
      link->Send(EncodeFeedBody(std::move(aReply)));
    });
}

std::uint64_t
FeedServer::MinAppliedIndex(TimePoint aNow) const
{
  return m_gateways.MinAppliedIndex(aNow, m_backend.AppliedIndex());
}

std::uint32_t
FeedServer::CountLive(TimePoint aNow) const
{
  return m_gateways.CountLive(aNow);
}

std::vector<GatewayLeaseTable::Gateway>
FeedServer::ListGateways() const
{
  return m_gateways.List();
}

void
FeedServer::RemoveExpiredGateways(TimePoint aNow)
{
  for (const state::GatewayGoneT& expired : m_gateways.FindGone(aNow, 0)) {
    m_gateways.Forget(expired.gateway, expired.gateway_epoch);
  }
}

} // namespace parsleycove
