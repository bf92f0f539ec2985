// The feed of a gateway: selects the replica, and maintains the copy of the
// configuration and the configuration lease.
#include "Control/ClientNode.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "State/CommandLevel.h"
#include "Wire/MessageCodec.h"

namespace parsleycove {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Ping interval while a received change is not yet in force.
constexpr std::chrono::milliseconds kChangePendingPingMs{ 200 };
// Time to the next Ping after a Pong without a lease.
constexpr std::chrono::milliseconds kNoLeasePingMs{ 20 };
// A new feed must send state confirmed by a quorum within this time.
constexpr std::chrono::milliseconds kFirstConfirmationMs{ 350 };
constexpr std::uint32_t kFeedVersion = 1;
// Maximum number of endpoint renewals kept while no feed is open. Further ones
// are dropped.
constexpr std::size_t kMaxRenewals = 4096;

asio::steady_timer::duration
ToTimer(Duration aDuration)
{
  return std::chrono::duration_cast<asio::steady_timer::duration>(
    std::max(aDuration, Duration::zero()));
}

} // namespace

ClientNode::ClientNode(asio::io_context& aContext,
                       const ControlClientOptions& aOptions)
  : m_context(aContext)
  , m_options(aOptions)
  , m_directory(aOptions.m_seeds, aOptions.m_zone, aOptions.m_seed)
  , m_connectTimer(aContext)
  , m_pingTimer(aContext)
  , m_callTimer(aContext)
{
}

ClientNode::~ClientNode() = default;

void
ClientNode::Start()
{
  ConnectFeed();
}

void
ClientNode::Close()
{
  m_closed = true;
  m_connectTimer.cancel();
  m_pingTimer.cancel();
  m_callTimer.cancel();
  if (m_feed) {
    m_feed->Close();
  }
  CloseLeaderLink();
  m_calls.FailAll();
}

FrameLinkOptions
ClientNode::LinkOptions() const
{
  FrameLinkOptions options;
  options.m_maxFrameBytes = m_options.m_maxFrameBytes;
  options.m_maxQueueBytes = m_options.m_maxQueueBytes;
  options.m_heartbeatInterval = m_options.m_linkHeartbeat;
  options.m_silenceLimit = m_options.m_silenceLimit;
  options.m_traffic = m_options.m_traffic;
  return options;
}

void
ClientNode::ConnectFeed()
{
  m_feedAddress = m_directory.Pick(BootClock::now());
  if (!m_feedAddress) {
    return;
  }
  m_feed = FrameLink::Connect(m_context, *m_feedAddress, LinkOptions(), *this);
}

void
ClientNode::ReplaceFeed(bool aFailed)
{
  if (aFailed && m_feedAddress) {
    m_directory.RecordFailure(BootClock::now(), *m_feedAddress);
  }
  if (m_feed) {
    m_feed->Close();
    m_feed.reset();
  }
  m_groupLevel = 0;
  m_pings.clear();
  m_pingTimer.cancel();
  ScheduleConnect();
}

void
ClientNode::ScheduleConnect()
{
  m_connectTimer.expires_after(ToTimer(m_options.m_reconnectInterval));
  m_connectTimer.async_wait([this](const error_code& aError) {
    if (!aError && !m_closed && !m_feed) {
      ConnectFeed();
    }
  });
}

void
ClientNode::OnOpen(FrameLink& aLink)
{
  const TimePoint now = BootClock::now();
  if (&aLink == m_leaderLink.get()) {
    m_calls.MakeDue(CallTarget::Leader, now);
    SendDueCalls();
    return;
  }
  m_lastGrantAt = now;
  // A new feed has kFirstConfirmationMs instead of the stale limit: a working
  // replica answers immediately.
  m_confirmedAt = now - m_options.m_staleLimit + kFirstConfirmationMs;
  SendHello();
  SendPing();
  m_calls.MakeDue(CallTarget::Feed, now);
  m_calls.MakeDue(CallTarget::Leader, now);
  SendDueCalls();
}

void
ClientNode::SendHello()
{
  feed::HelloT hello;
  hello.vm = m_options.m_vm;
  hello.zone = m_options.m_zone;
  hello.epoch = m_options.m_epoch;
  hello.version = kFeedVersion;
  hello.takes_no_callers = !m_options.m_takesCallers;
  hello.feature_level = kFeatureLevel;
  hello.has_index = m_needsImage ? 0 : m_view.AppliedIndex();
  m_feed->Send(EncodeFeedBody(std::move(hello)));
}

void
ClientNode::SendPing()
{
  if (!m_feed || !m_feed->IsOpen()) {
    return;
  }
  // The replica answers this gateway, but has no quorum.
  const TimePoint now = BootClock::now();
  if (now - m_lastGrantAt > m_options.m_silenceLimit ||
      now - m_confirmedAt > m_options.m_staleLimit) {
    ReplaceFeed(/*aFailed=*/true);
    return;
  }
  feed::PingT ping;
  ping.id = ++m_lastId;
  ping.applied_index = m_view.AppliedIndex();
  ping.stopping = m_stopping;
  for (state::EndpointRefT& reference : m_renewals) {
    ping.renewed.push_back(
      std::make_unique<state::EndpointRefT>(std::move(reference)));
  }
  m_renewals.clear();
  m_pings.emplace(ping.id, BootClock::now());
  m_feed->Send(EncodeFeedBody(std::move(ping)));
  const bool changePending = m_view.InForceIndex() < m_view.ConfigIndex();
  SchedulePing(changePending ? std::min<Duration>(kChangePendingPingMs,
                                                  m_options.m_pingInterval)
                             : m_options.m_pingInterval);
}

void
ClientNode::SchedulePing(Duration aAfter)
{
  m_pingTimer.expires_after(ToTimer(aAfter));
  m_pingTimer.async_wait([this](const error_code& aError) {
    if (!aError && !m_closed) {
      SendPing();
    }
  });
}

void
ClientNode::OnFrame(FrameLink& aLink, const ReceivedFrame& aFrame)
{
  const auto message = DecodeFeedFrame(aFrame.m_kind, aFrame.m_payload);
  if (!message) {
    if (&aLink == m_feed.get()) {
      ReplaceFeed(/*aFailed=*/true);
    } else {
      CloseLeaderLink();
    }
    return;
  }
  if (&aLink == m_feed.get()) {
    OnFeedMessage(message->body);
  }
  OnAnswer(message->body);
}

void
ClientNode::OnFeedMessage(const feed::FeedBodyUnion& aBody)
{
  switch (aBody.type) {
    case feed::FeedBody::Welcome:
      OnWelcome(*aBody.AsWelcome());
      break;
    case feed::FeedBody::Image:
      OnImage(*aBody.AsImage());
      break;
    case feed::FeedBody::Delta:
      OnDelta(*aBody.AsDelta());
      break;
    case feed::FeedBody::Pong:
      OnPong(*aBody.AsPong());
      break;
    default:
      break;
  }
}

void
ClientNode::OnWelcome(const feed::WelcomeT& aWelcome)
{
  m_directory.ApplyWelcome(aWelcome);
  m_groupLevel = aWelcome.group_level;
  m_calls.MakeDue(CallTarget::Leader, BootClock::now());
  SendDueCalls();
  if (m_directory.HasCloserReplica(BootClock::now(), *m_feedAddress)) {
    ReplaceFeed(/*aFailed=*/false);
  }
}

void
ClientNode::OnImage(const feed::ImageT& aImage)
{
  if (aImage.image) {
    m_needsImage = false;
    m_view.ApplyImage(*aImage.image);
    SchedulePublish();
  }
}

void
ClientNode::OnDelta(const feed::DeltaT& aDelta)
{
  if (aDelta.command && !m_needsImage) {
    if (!m_view.ApplyDelta(aDelta.index, *aDelta.command)) {
      m_needsImage = true;
      ReplaceFeed(/*aFailed=*/false);
      return;
    }
    SchedulePublish();
  }
}

void
ClientNode::SchedulePublish()
{
  if (std::exchange(m_publishRequested, true)) {
    return;
  }
  asio::post(m_context, [this] {
    m_publishRequested = false;
    if (!m_closed) {
      m_view.Publish();
      // Acknowledges without delay, since a change is in force only once the
      // gateways have acknowledged it.
      SendPing();
    }
  });
}

void
ClientNode::OnPong(const feed::PongT& aPong)
{
  const auto sent = m_pings.find(aPong.id);
  if (sent == m_pings.end()) {
    return;
  }
  const TimePoint sentAt = sent->second;
  // Pongs arrive in order, so no Pong for an earlier Ping can follow.
  std::erase_if(m_pings,
                [&](const auto& aPing) { return aPing.first <= aPong.id; });
  m_confirmedAt = std::max(
    m_confirmedAt, sentAt - std::chrono::milliseconds(aPong.confirmed_ago_ms));
  m_view.Advance(aPong.index);
  m_view.UpdateInForceIndex(aPong.in_force_index);
  m_view.UpdateGatewayCount(BootClock::now(), aPong.gateways);
  if (aPong.lease_ms != 0 && !m_needsImage) {
    m_lastGrantAt = BootClock::now();
    m_view.ExtendLease(sentAt + std::chrono::milliseconds(aPong.lease_ms));
  } else {
    // The replica grants no lease before this gateway acknowledges a newer
    // index or a quorum confirms the replica's state.
    SchedulePing(kNoLeasePingMs);
  }
}

void
ClientNode::OnClosed(FrameLink& aLink, const WireReason& /*aReason*/)
{
  if (&aLink == m_leaderLink.get()) {
    CloseLeaderLink();
    m_directory.SetLeader(std::nullopt);
    m_calls.MakeDue(CallTarget::Leader, BootClock::now());
    SendDueCalls();
    return;
  }
  if (&aLink == m_feed.get()) {
    ReplaceFeed(/*aFailed=*/true);
  }
}

void
ClientNode::AddSeeds(const std::vector<SocketAddress>& aSeeds)
{
  m_directory.AddSeeds(aSeeds);
}

void
ClientNode::RenewEndpoint(state::EndpointRefT aReference)
{
  if (m_renewals.size() < kMaxRenewals) {
    m_renewals.push_back(std::move(aReference));
  }
}

void
ClientNode::AnnounceStopping()
{
  m_stopping = true;
  SendPing();
}

} // namespace parsleycove
