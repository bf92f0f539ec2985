// A gateway's feed and its calls to the control group, handled by one Asio
// thread.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Control/ControlClient.h"
#include "Control/LeasedConfigView.h"
#include "Control/PendingCalls.h"
#include "Control/ReplicaDirectory.h"
#include "Wire/FrameLink.h"

namespace parsleycove {

// Keeps one feed link, and in addition a link to the leader if the feed comes
// from another replica. Reconnects the feed to another replica if the current
// one is unresponsive, closes the link, or grants no lease for too long.
class ClientNode final : public FrameLinkListener
{
public:
  ClientNode(boost::asio::io_context& aContext,
             const ControlClientOptions& aOptions);
  ~ClientNode() override;
  ClientNode(const ClientNode&) = delete;
  ClientNode& operator=(const ClientNode&) = delete;

  void Start();
  void Close();

  // Sends a request, and sends it again until it is answered or its deadline
  // has passed. Sets the id of the body.
  template<typename Body>
  void Call(Body aBody,
            CallTarget aTarget,
            TimePoint aDeadline,
            PendingCall::Handler aHandler)
  {
    aBody.id = ++m_lastId;
    feed::FeedMessageT message;
    message.body.Set(std::move(aBody));
    AddCall(m_lastId, message, aTarget, aDeadline, std::move(aHandler));
  }
  void AddSeeds(const std::vector<SocketAddress>& aSeeds);
  void RenewEndpoint(state::EndpointRefT aReference);
  void AnnounceStopping();

  // May be called by any thread.
  const LeasedConfigView& View() const { return m_view; }

  void OnOpen(FrameLink& aLink) override;
  void OnFrame(FrameLink& aLink, const ReceivedFrame& aFrame) override;
  void OnClosed(FrameLink& aLink, const WireReason& aReason) override;

private:
  // Feed
  void ConnectFeed();
  void ReplaceFeed(bool aFailed);
  void ScheduleConnect();
  void SendHello();
  void SendPing();
  void SchedulePing(Duration aAfter);
  void OnFeedMessage(const feed::FeedBodyUnion& aBody);
  void OnWelcome(const feed::WelcomeT& aWelcome);
  void OnImage(const feed::ImageT& aImage);
  void OnDelta(const feed::DeltaT& aDelta);
  void OnPong(const feed::PongT& aPong);
  void SchedulePublish();

  // Calls
  void AddCall(std::uint64_t aId,
               const feed::FeedMessageT& aMessage,
               CallTarget aTarget,
               TimePoint aDeadline,
               PendingCall::Handler aHandler);
  void SendDueCalls();
  // Withholds a call that not all control VMs are known to read.
  void SendCall(PendingCall& aCall, TimePoint aNow);
  FrameLink* LinkFor(CallTarget aTarget);
  void ArmCallTimer(TimePoint aAt);
  void OnAnswer(const feed::FeedBodyUnion& aBody);
  void OnProposeReply(const feed::FeedBodyUnion& aBody);
  void Retry(std::uint64_t aId, Duration aAfter);
  void CloseLeaderLink();

  FrameLinkOptions LinkOptions() const;

  boost::asio::io_context& m_context;
  const ControlClientOptions m_options;
  ReplicaDirectory m_directory;
  LeasedConfigView m_view;
  PendingCalls m_calls;
  std::uint64_t m_lastId = 0;

  FrameLink::Pointer m_feed;
  std::optional<SocketAddress> m_feedAddress;
  FrameLink::Pointer m_leaderLink;
  std::optional<SocketAddress> m_leaderLinkAddress;
  boost::asio::steady_timer m_connectTimer;
  boost::asio::steady_timer m_pingTimer;
  boost::asio::steady_timer m_callTimer;
  std::optional<TimePoint> m_callTimerAt;

  // Send time of each unanswered Ping of the current feed, by its id.
  std::unordered_map<std::uint64_t, TimePoint> m_pings;
  // When the current feed was opened or last granted a lease.
  TimePoint m_lastGrantAt{};
  // Latest time at which a quorum confirmed the state of the current feed.
  TimePoint m_confirmedAt{};
  std::vector<state::EndpointRefT> m_renewals;
  // Feature level of the control group, as the current feed stated it.
  std::uint32_t m_groupLevel = 0;
  bool m_stopping = false;
  bool m_needsImage = false;
  bool m_publishRequested = false;
  bool m_closed = false;
};

} // namespace parsleycove
