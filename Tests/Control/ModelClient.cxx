// The control client of one simulated VM, with the calls that keep its replica
// in the group.
#include "Control/ModelClient.h"

#include <utility>

namespace parsleycove::test {

namespace {

using std::chrono::milliseconds;

// The times of a control VM's client.
constexpr Duration kSilenceLimit = milliseconds(700);
constexpr Duration kStaleLimit = milliseconds(900);
constexpr Duration kFirstConfirmation = milliseconds(350);
constexpr Duration kReconnectInterval = milliseconds(100);
constexpr Duration kCallTimeout = milliseconds(1500);
constexpr Duration kResendInterval = milliseconds(1500);
constexpr Duration kRetryDelay = milliseconds(20);

std::string
Encode(const feed::WelcomeT& aWelcome)
{
  std::string text = aWelcome.leader_address;
  for (const auto& peer : aWelcome.peers) {
    text += " " + peer->address;
  }
  return text;
}

} // namespace

ModelClient::ModelClient(ModelNetwork& aNetwork,
                         std::size_t aVm,
                         std::string aZone,
                         const std::vector<SocketAddress>& aSeeds,
                         feed::AddReplicaT aSelf)
  : m_network(aNetwork)
  , m_vm(aVm)
  , m_self(std::move(aSelf))
  , m_check(m_self.replica)
  , m_directory(aSeeds, std::move(aZone), m_self.replica)
{
}

void
ModelClient::Step(TimePoint aNow)
{
  StepFeed(aNow);
  StepLeaderLink(aNow);
  StepCall(aNow);
}

bool
ModelClient::UpdateLink(TimePoint aNow, Link& aLink)
{
  const LinkState state = m_network.StateOf(m_vm, *aLink.m_to);
  if (state == LinkState::Works) {
    aLink.m_heardAt = aNow;
    aLink.m_open = true;
  }
  return state != LinkState::Refused && aNow - aLink.m_heardAt <= kSilenceLimit;
}

void
ModelClient::StepFeed(TimePoint aNow)
{
  if (!m_feed.m_to) {
    if (aNow >= m_reconnectAt) {
      ConnectFeed(aNow);
    }
    return;
  }
  const bool wasOpen = m_feed.m_open;
  if (!UpdateLink(aNow, m_feed)) {
    ReplaceFeed(aNow, true);
    return;
  }
  if (!m_feed.m_open) {
    return;
  }
  if (!wasOpen) {
    m_confirmedAt = aNow - kStaleLimit + kFirstConfirmation;
    m_lastWelcome.clear();
  }
  if (m_feed.m_heardAt == aNow) {
    if (m_network.IsConfirmed(*m_feed.m_to)) {
      m_confirmedAt = aNow;
    }
    ApplyWelcome(aNow);
  }
  if (m_feed.m_to && aNow - m_confirmedAt > kStaleLimit) {
    ReplaceFeed(aNow, true);
  }
}

void
ModelClient::ConnectFeed(TimePoint aNow)
{
  m_feed = { m_directory.Pick(aNow), false, aNow };
}

void
ModelClient::ReplaceFeed(TimePoint aNow, bool aFailed)
{
  if (aFailed) {
    m_directory.RecordFailure(aNow, *m_feed.m_to);
  }
  m_feed = {};
  m_reconnectAt = aNow + kReconnectInterval;
}

void
ModelClient::ApplyWelcome(TimePoint aNow)
{
  const feed::WelcomeT welcome = m_network.DescribeGroup(*m_feed.m_to);
  std::string text = Encode(welcome) + ".";
  if (text == m_lastWelcome) {
    return;
  }
  m_lastWelcome = std::move(text);
  m_directory.ApplyWelcome(welcome);
  if (m_directory.HasCloserReplica(aNow, *m_feed.m_to)) {
    ReplaceFeed(aNow, false);
  }
}

void
ModelClient::StepLeaderLink(TimePoint aNow)
{
  if (m_leaderLink.m_to && !UpdateLink(aNow, m_leaderLink)) {
    m_leaderLink = {};
    m_directory.SetLeader(std::nullopt);
    m_nextSendAt = aNow;
  }
}

ModelClient::Link&
ModelClient::LinkToLeader(TimePoint aNow)
{
  const auto& leader = m_directory.Leader();
  if (!leader || leader == m_feed.m_to) {
    return m_feed;
  }
  if (m_leaderLink.m_to != leader) {
    m_leaderLink = { leader, false, aNow };
  }
  return m_leaderLink;
}

void
ModelClient::StepCall(TimePoint aNow)
{
  if (m_call == CallKind::None) {
    if (aNow < m_nextCheckAt) {
      return;
    }
    StartCall(aNow, CallKind::Status);
  }
  if (aNow >= m_deadline) {
    const ControlReason reason{ ControlError::NotAccepted,
                                "no leader of the control group was reached in "
                                "time" };
    EndCall(aNow,
            m_call == CallKind::Status ? m_check.OnStatus(nullptr, reason)
                                       : m_check.OnJoinReply(nullptr, reason));
    return;
  }
  if (m_call == CallKind::Join) {
    if (const auto answer = m_network.PollAddition(m_vm)) {
      OnAnswer(aNow, *answer);
      return;
    }
  }
  if (aNow >= m_nextSendAt) {
    SendCall(aNow);
  }
}

void
ModelClient::StartCall(TimePoint aNow, CallKind aKind)
{
  m_call = aKind;
  m_deadline = aNow + kCallTimeout;
  m_nextSendAt = aNow;
}

void
ModelClient::SendCall(TimePoint aNow)
{
  const Link& link = LinkToLeader(aNow);
  if (!link.m_to || !link.m_open) {
    m_nextSendAt = aNow + kRetryDelay;
    return;
  }
  m_nextSendAt = aNow + kResendInterval;
  if (m_network.StateOf(m_vm, *link.m_to) != LinkState::Works) {
    return;
  }
  const auto answer = m_call == CallKind::Status
                        ? m_network.ReadStatus(m_vm, *link.m_to)
                        : m_network.AddReplica(m_vm, *link.m_to, m_self);
  if (answer) {
    OnAnswer(aNow, *answer);
  }
}

void
ModelClient::OnAnswer(TimePoint aNow, const feed::FeedBodyUnion& aAnswer)
{
  m_directory.ApplyAnswer(aAnswer);
  if (const auto* status = aAnswer.AsStatusReply()) {
    const MembershipStep step = m_check.OnStatus(status, {});
    if (step.m_joins) {
      StartCall(aNow, CallKind::Join);
    } else {
      EndCall(aNow, step);
    }
    return;
  }
  const auto& reply = *aAnswer.AsAdminReply();
  if (reply.not_leader) {
    m_nextSendAt = aNow + kRetryDelay;
    return;
  }
  EndCall(aNow, m_check.OnJoinReply(&reply, {}));
}

void
ModelClient::EndCall(TimePoint aNow, const MembershipStep& aStep)
{
  m_call = CallKind::None;
  m_nextCheckAt = aNow + aStep.m_wait;
  m_lastFault = aStep.m_fault;
}

} // namespace parsleycove::test
