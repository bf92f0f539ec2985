// Tests of the classes of the control client that do no I/O. They guard against
// reporting an uncertain outcome as not accepted, and against a configuration
// copy that goes back to an older state.
#include <memory>
#include <string>
#include <vector>

#include "Control/LeasedConfigView.h"
#include "Control/PendingCalls.h"
#include "Control/ReplicaDirectory.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::milliseconds(1000 + aMs));
}

feed::WelcomeT
MakeWelcome(std::size_t aReplicas)
{
  feed::WelcomeT welcome;
  for (std::size_t i = 0; i < aReplicas; ++i) {
    auto peer = std::make_unique<feed::ReplicaAddressT>();
    peer->replica = i + 1;
    peer->zone = std::string("zone-") + static_cast<char>('a' + i);
    peer->address = "10.0.0." + std::to_string(i + 1);
    peer->port = 7000;
    welcome.peers.push_back(std::move(peer));
  }
  return welcome;
}

state::CommandT
MakeClass(const std::string& aName, std::uint64_t aBase)
{
  auto workClass = std::make_unique<state::WorkClassT>();
  workClass->name = aName;
  workClass->first_token_ms = 1000;
  workClass->completion_ms = 2000;
  workClass->success_per_mille = 900;
  state::ApplyChangeT change;
  change.change_id = aName;
  change.base_revision = aBase;
  change.operator_name = "tester";
  change.unix_ms = 1;
  change.change = std::make_unique<state::ConfigChangeT>();
  change.change->put_classes.push_back(std::move(workClass));
  state::CommandT command;
  command.body.Set(std::move(change));
  return command;
}

} // namespace

// clang-format off
TEST_GROUP(PendingCalls)
{
  PendingCalls m_calls;
  std::vector<ControlError> m_errors;
  int m_answers = 0;

  void Add(std::uint64_t aId, TimePoint aDeadline)
  {
    PendingCall call;
    call.m_id = aId;
    call.m_deadline = aDeadline;
    call.m_handler = [this](const feed::FeedBodyUnion* aAnswer,
                            const ControlReason& aReason) {
      if (aAnswer != nullptr) {
        ++m_answers;
      } else {
        m_errors.push_back(aReason.m_code);
      }
    };
    m_calls.Add(std::move(call));
  }
};
// clang-format on

TEST(PendingCalls, NeverSentOrOnlyRefusedIsNotAccepted)
{
  Add(1, At(10));
  Add(2, At(10));
  m_calls.Find(2)->m_uncertainSends = 1;
  m_calls.RecordRejection(2);
  m_calls.CollectDue(At(10));
  CHECK_EQUAL(2, m_errors.size());
  CHECK(m_errors[0] == ControlError::NotAccepted);
  CHECK(m_errors[1] == ControlError::NotAccepted);
}

TEST(PendingCalls, OneSendingWithoutAnAnswerMakesItUnknown)
{
  Add(1, At(10));
  m_calls.Find(1)->m_uncertainSends = 2;
  m_calls.RecordRejection(1);
  m_calls.CollectDue(At(10));
  CHECK_EQUAL(1, m_errors.size());
  CHECK(m_errors[0] == ControlError::Unknown);
}

TEST(PendingCalls, ARefusalByAFullLogEndsTheCallUnlessAnotherSendMayCount)
{
  Add(1, At(10));
  m_calls.Find(1)->m_uncertainSends = 1;
  CHECK(m_calls.FailRejected(1, "the log is full"));
  CHECK_EQUAL(1, m_errors.size());
  CHECK(m_errors[0] == ControlError::NotAccepted);
  Add(2, At(10));
  m_calls.Find(2)->m_uncertainSends = 2;
  CHECK_FALSE(m_calls.FailRejected(2, "the log is full"));
  CHECK_EQUAL(1, m_errors.size());
  m_calls.CollectDue(At(10));
  CHECK(m_errors.back() == ControlError::Unknown);
  CHECK_FALSE(m_calls.FailRejected(2, "the log is full"));
}

TEST(PendingCalls, LateAndDuplicateAnswersCallNobody)
{
  Add(1, At(10));
  const feed::FeedBodyUnion answer;
  m_calls.Complete(1, answer);
  m_calls.Complete(1, answer);
  Add(2, At(10));
  m_calls.CollectDue(At(11));
  m_calls.Complete(2, answer);
  m_calls.RecordRejection(2);
  CHECK_EQUAL(1, m_answers);
  CHECK_EQUAL(1, m_errors.size());
}

TEST_GROUP(ReplicaDirectory){};

// Guards against a client that cannot reach the leader any more after its link
// to it ended: calls on the group's members found no leader again.
TEST(ReplicaDirectory, ARejectedCallNamesTheLeader)
{
  ReplicaDirectory directory({ { "10.0.0.1", 1 } }, "zone-a", 1);
  feed::AdminReplyT reply;
  reply.not_leader = true;
  reply.leader_address = "10.0.0.2";
  reply.leader_port = 7000;
  feed::FeedBodyUnion answer;
  answer.Set(feed::AdminReplyT(reply));
  directory.ApplyAnswer(answer);
  CHECK(directory.Leader() == SocketAddress({ "10.0.0.2", 7000 }));
  feed::ProposeReplyT applied;
  applied.status = feed::ProposeStatus::Applied;
  answer.Set(std::move(applied));
  directory.ApplyAnswer(answer);
  CHECK(directory.Leader() == SocketAddress({ "10.0.0.2", 7000 }));
  reply.leader_address.clear();
  answer.Set(feed::AdminReplyT(reply));
  directory.ApplyAnswer(answer);
  CHECK_FALSE(directory.Leader().has_value());
}

TEST(ReplicaDirectory, PrefersTheOwnZoneAndAvoidsWhatFailedLately)
{
  ReplicaDirectory directory({ { "10.0.0.9", 7000 } }, "zone-b", 1);
  CHECK(directory.Pick(At(0))->m_address == "10.0.0.9");
  directory.ApplyWelcome(MakeWelcome(3));
  CHECK(directory.Pick(At(0))->m_address == "10.0.0.2");
  CHECK(directory.HasCloserReplica(At(0), { "10.0.0.1", 7000 }));
  directory.RecordFailure(At(0), { "10.0.0.2", 7000 });
  CHECK_FALSE(directory.HasCloserReplica(At(1), { "10.0.0.1", 7000 }));
  const auto next = directory.Pick(At(1))->m_address;
  CHECK(next == "10.0.0.1" || next == "10.0.0.3");
  directory.RecordFailure(At(2), { "10.0.0.1", 7000 });
  directory.RecordFailure(At(3), { "10.0.0.3", 7000 });
  directory.RecordFailure(At(4), { "10.0.0.9", 7000 });
  // If all replicas have failed, Pick still returns the oldest failure.
  CHECK(directory.Pick(At(5))->m_address == "10.0.0.2");
}

TEST(ReplicaDirectory, ALostReplicaOfTheOwnZoneIsTriedInTurnWithTheOthers)
{
  ReplicaDirectory directory({}, "zone-b", 1);
  directory.ApplyWelcome(MakeWelcome(3));
  directory.RecordFailure(At(0), { "10.0.0.1", 7000 });
  directory.RecordFailure(At(1), { "10.0.0.3", 7000 });
  directory.RecordFailure(At(2), { "10.0.0.2", 7000 });
  CHECK(directory.Pick(At(3))->m_address == "10.0.0.1");
  directory.RecordFailure(At(4), { "10.0.0.1", 7000 });
  CHECK(directory.Pick(At(5))->m_address == "10.0.0.3");
}

// clang-format off
TEST_GROUP(LeasedConfigView)
{
  LeasedConfigView m_view;

  state::ConfigImageT ImageAt(std::uint64_t aIndex)
  {
    state::ConfigImageT image;
    image.index = aIndex;
    image.revision = aIndex;
    return image;
  }
};
// clang-format on

TEST(LeasedConfigView, NeverGoesBackToAnOlderImageOrDelta)
{
  m_view.ApplyImage(ImageAt(10));
  CHECK(m_view.ApplyDelta(12, MakeClass("a", 10)));
  m_view.Publish();
  CHECK_EQUAL(12, m_view.Read()->Index());
  // A replica that lags behind sends older state.
  m_view.ApplyImage(ImageAt(11));
  CHECK(m_view.ApplyDelta(11, MakeClass("b", 10)));
  m_view.Publish();
  CHECK_EQUAL(12, m_view.Read()->Index());
  CHECK(m_view.Read()->FindClass("a") != nullptr);
  CHECK(m_view.Read()->FindClass("b") == nullptr);
}

TEST(LeasedConfigView, HasNoLeaseBeforeTheFirstImage)
{
  m_view.ExtendLease(At(100));
  CHECK_FALSE(m_view.HasLease(At(0)));
  m_view.ApplyImage(ImageAt(1));
  m_view.ExtendLease(At(100));
  CHECK(m_view.HasLease(At(99)));
  CHECK_FALSE(m_view.HasLease(At(100)));
  CHECK_EQUAL(1, m_view.Read()->Index());
}

TEST(LeasedConfigView, AnUnknownNumberOfGatewaysLeavesTheLastOneForAWhile)
{
  const int holdMs = std::chrono::milliseconds(kGatewayCountHold).count();
  CHECK_EQUAL(0, m_view.GatewayCount(At(0)));
  m_view.UpdateGatewayCount(At(0), 7);
  m_view.UpdateGatewayCount(At(1000), 0);
  CHECK_EQUAL(7, m_view.GatewayCount(At(holdMs - 1)));
  CHECK_EQUAL(0, m_view.GatewayCount(At(holdMs)));
  m_view.UpdateGatewayCount(At(holdMs), 6);
  CHECK_EQUAL(6, m_view.GatewayCount(At(holdMs)));
}

TEST(LeasedConfigView, ADeltaThatDoesNotFitIsReported)
{
  m_view.ApplyImage(ImageAt(10));
  CHECK_FALSE(m_view.ApplyDelta(12, MakeClass("a", 9)));
}
