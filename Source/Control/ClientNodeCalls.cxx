// The calls of a gateway to the control group: sends them, retries them and
// matches the answers.
#include "Control/ClientNode.h"

#include <algorithm>
#include <utility>

#include "State/CommandLevel.h"
#include "Wire/MessageCodec.h"

namespace parsleycove {

namespace {

// Delay before a call is retried if no link is open, or after a replica has
// rejected the call or could not complete it.
constexpr std::chrono::milliseconds kRetryDelayMs{ 20 };

std::uint32_t
LevelOf(const feed::FeedBodyUnion& aBody)
{
  const auto* proposal = aBody.AsPropose();
  return proposal == nullptr || !proposal->command
           ? 0
           : FindCommandLevel(*proposal->command).value_or(0);
}

} // namespace

void
ClientNode::AddCall(std::uint64_t aId,
                    const feed::FeedMessageT& aMessage,
                    CallTarget aTarget,
                    TimePoint aDeadline,
                    PendingCall::Handler aHandler)
{
  const TimePoint now = BootClock::now();
  PendingCall call;
  call.m_id = aId;
  call.m_target = aTarget;
  call.m_level = LevelOf(aMessage.body);
  call.m_frame = EncodeFeedFrame(aMessage);
  call.m_deadline = aDeadline;
  call.m_nextSendAt = now;
  call.m_handler = std::move(aHandler);
  m_calls.Add(std::move(call));
  if (m_closed || aDeadline <= now) {
    m_calls.CollectDue(m_closed ? aDeadline : now);
    return;
  }
  PendingCall& added = *m_calls.Find(aId);
  SendCall(added, now);
  ArmCallTimer(std::min(added.m_nextSendAt, added.m_deadline));
}

void
ClientNode::SendDueCalls()
{
  const TimePoint now = BootClock::now();
  for (const std::uint64_t id : m_calls.CollectDue(now)) {
    if (PendingCall* call = m_calls.Find(id)) {
      SendCall(*call, now);
    }
  }
  if (const auto next = m_calls.NextDue()) {
    ArmCallTimer(*next);
  }
}

void
ClientNode::SendCall(PendingCall& aCall, TimePoint aNow)
{
  aCall.m_isWithheld = aCall.m_level > m_groupLevel;
  if (aCall.m_isWithheld) {
    // Sent as soon as the feed states a sufficient level.
    aCall.m_nextSendAt = aNow + m_options.m_resendInterval;
    return;
  }
  FrameLink* link = LinkFor(aCall.m_target);
  if (link == nullptr || !link->IsOpen()) {
    aCall.m_nextSendAt = aNow + kRetryDelayMs;
    return;
  }
  ++aCall.m_uncertainSends;
  aCall.m_nextSendAt = aNow + m_options.m_resendInterval;
  link->Send(aCall.m_frame);
}

FrameLink*
ClientNode::LinkFor(CallTarget aTarget)
{
  const auto& leader = m_directory.Leader();
  if (aTarget == CallTarget::Feed || !leader || leader == m_feedAddress) {
    return m_feed.get();
  }
  if (m_leaderLink && m_leaderLinkAddress == leader) {
    return m_leaderLink.get();
  }
  CloseLeaderLink();
  m_leaderLinkAddress = leader;
  m_leaderLink = FrameLink::Connect(m_context, *leader, LinkOptions(), *this);
  return m_leaderLink.get();
}

void
ClientNode::CloseLeaderLink()
{
  if (m_leaderLink) {
    m_leaderLink->Close();
    m_leaderLink.reset();
  }
}

void
ClientNode::ArmCallTimer(TimePoint aAt)
{
  if (m_callTimerAt && *m_callTimerAt <= aAt) {
    return;
  }
  m_callTimerAt = aAt;
  const auto wait =
    std::max<Duration>(aAt - BootClock::now(), Duration::zero());
  m_callTimer.expires_after(
    std::chrono::duration_cast<boost::asio::steady_timer::duration>(wait));
  m_callTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError && !m_closed) {
      m_callTimerAt.reset();
      SendDueCalls();
    }
  });
}

void
ClientNode::OnAnswer(const feed::FeedBodyUnion& aBody)
{
  m_directory.ApplyAnswer(aBody);
  switch (aBody.type) {
    case feed::FeedBody::ProposeReply:
      OnProposeReply(aBody);
      break;
    case feed::FeedBody::ReadActionReply:
      if (const auto& reply = *aBody.AsReadActionReply(); reply.ok) {
        m_calls.Complete(reply.id, aBody);
      } else {
        m_calls.RecordRejection(reply.id);
        Retry(reply.id, kRetryDelayMs);
      }
      break;
    case feed::FeedBody::ConfirmReadReply:
      if (const auto& reply = *aBody.AsConfirmReadReply(); reply.ok) {
        // All deltas up to the confirmed index came before this answer on the
        // same link.
        m_view.Publish();
        m_calls.Complete(reply.id, aBody);
      } else {
        m_calls.RecordRejection(reply.id);
        Retry(reply.id, kRetryDelayMs);
      }
      break;
    case feed::FeedBody::StatusReply:
      m_calls.Complete(aBody.AsStatusReply()->id, aBody);
      break;
    case feed::FeedBody::AdminReply:
      if (const auto& reply = *aBody.AsAdminReply(); !reply.not_leader) {
        m_calls.Complete(reply.id, aBody);
      } else {
        m_calls.RecordRejection(reply.id);
        Retry(reply.id, kRetryDelayMs);
      }
      break;
    default:
      break;
  }
}

void
ClientNode::OnProposeReply(const feed::FeedBodyUnion& aBody)
{
  const feed::ProposeReplyT& reply = *aBody.AsProposeReply();
  if (reply.status == feed::ProposeStatus::Applied && reply.result) {
    m_calls.Complete(reply.id, aBody);
    return;
  }
  if (reply.status == feed::ProposeStatus::Full) {
    // An earlier send may still be committed, so its call goes on.
    if (!m_calls.FailRejected(reply.id, "not accepted: " + reply.text)) {
      Retry(reply.id, m_options.m_resendInterval);
    }
    return;
  }
  if (reply.status == feed::ProposeStatus::NotLeader) {
    m_calls.RecordRejection(reply.id);
  }
  Retry(reply.id, kRetryDelayMs);
}

void
ClientNode::Retry(std::uint64_t aId, Duration aAfter)
{
  if (PendingCall* call = m_calls.Find(aId)) {
    call->m_nextSendAt = BootClock::now() + aAfter;
    ArmCallTimer(call->m_nextSendAt);
  }
}

} // namespace parsleycove
