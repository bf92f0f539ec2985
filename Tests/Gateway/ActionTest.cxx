// Tests of calls that may not be repeated, with faults at every step.
#include "Support/GatewayFixture.h"

#include <array>

#include "Forwarding/ControlCalls.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr std::array kBehaviours{ ServiceBehaviour::Answers,
                                  ServiceBehaviour::LosesAnswer,
                                  ServiceBehaviour::ClosesUnrun,
                                  ServiceBehaviour::SaysNotRun };
constexpr std::array kFates{ ProposalFate::Applied,
                             ProposalFate::NotAccepted,
                             ProposalFate::AnswerLost,
                             ProposalFate::Lost };
constexpr std::array kSteps{ state::CommandBody::ReserveAction,
                             state::CommandBody::DispatchAction,
                             state::CommandBody::CompleteAction,
                             state::CommandBody::AbandonAction,
                             state::CommandBody::DoubtAction };

// The first proposal of this kind meets that fate, later ones are applied.
FakeControl::Decide
MakeFault(state::CommandBody aStep, ProposalFate aFate)
{
  auto isFirst = std::make_shared<std::atomic<bool>>(true);
  return [=](const state::CommandT& aCommand) {
    const bool isHit = aCommand.body.type == aStep && isFirst->exchange(false);
    return isHit ? aFate : ProposalFate::Applied;
  };
}

// What was told must be true of what ran.
void
CheckHonest(const TestResponse& aResponse, int aRuns, const std::string& aCase)
{
  const std::string outcome = ErrorField(aResponse, "outcome");
  CHECK_TEXT(aResponse.m_status != 0, aCase.c_str());
  if (aResponse.m_status == 200) {
    CHECK_EQUAL_TEXT(1, aRuns, aCase.c_str());
  }
  if (outcome == "not_run") {
    CHECK_EQUAL_TEXT(0, aRuns, aCase.c_str());
  }
}

} // namespace

TEST_GROUP(Action)
{
  GatewayFixture m_fixture;
};

TEST(Action, ResendThroughAnotherVmGetsTheStoredAnswer)
{
  const TestResponse first = m_fixture.Book(m_fixture.m_first, "k1");
  const TestResponse second = m_fixture.Book(m_fixture.m_second, "k1");
  CHECK_EQUAL(200, first.m_status);
  CHECK_EQUAL(200, second.m_status);
  STRCMP_EQUAL(first.m_body.c_str(), second.m_body.c_str());
  STRCMP_EQUAL("true", second.Header("Idempotency-Replayed").c_str());
  CHECK_EQUAL(1, m_fixture.m_service.Runs());
}

TEST(Action, RunsAtMostOnceAndIsHonestUnderEveryFaultAtEveryStep)
{
  int number = 0;
  for (const ServiceBehaviour behaviour : kBehaviours) {
    for (const state::CommandBody step : kSteps) {
      for (const ProposalFate fate : kFates) {
        const std::string key = "key-" + std::to_string(++number);
        const int before = m_fixture.m_service.Runs();
        m_fixture.m_service.Behave(behaviour);
        m_fixture.m_control.SetFate(MakeFault(step, fate));
        const auto first = m_fixture.Book(m_fixture.m_first, key, "hasty");
        CheckHonest(first, m_fixture.m_service.Runs() - before, key);
        m_fixture.m_control.SetFate({});
        m_fixture.m_service.Behave(ServiceBehaviour::Answers);
        const auto second = m_fixture.Book(m_fixture.m_second, key, "hasty");
        const int runs = m_fixture.m_service.Runs() - before;
        CheckHonest(second, runs, key);
        CHECK_TEXT(runs <= 1, key.c_str());
        // What was told once stays true after the resend.
        CheckHonest(first, runs, key);
      }
    }
  }
}

TEST(Action, NoConnectionIsAnHonestNotRun)
{
  m_fixture.m_service.Stop();
  const TestResponse response = m_fixture.Book(m_fixture.m_first, "k1");
  CHECK_EQUAL(502, response.m_status);
  STRCMP_EQUAL("not_run", ErrorField(response, "outcome").c_str());
  CHECK(!response.Header("Retry-After").empty());
}

TEST(Action, SilentServiceIsAnUnknownOutcome)
{
  m_fixture.m_service.Behave(ServiceBehaviour::StaysSilent);
  const TestResponse response =
    m_fixture.Book(m_fixture.m_first, "k1", "hasty");
  CHECK_EQUAL(504, response.m_status);
  STRCMP_EQUAL("unknown", ErrorField(response, "outcome").c_str());
  STRCMP_EQUAL("/v1/actions/k1", response.Header("Location").c_str());
  CHECK_EQUAL(1, m_fixture.m_service.Runs());
}

TEST(Action, VmThatWakesAfterATakeOverSendsNothing)
{
  // While the first VM stands before its dispatch, the caller resends through
  // the second one, which takes the key over.
  std::atomic<bool> isFirst{ true };
  m_fixture.m_control.SetBefore([&](const state::CommandT& aCommand) {
    const bool isDispatch =
      aCommand.body.type == state::CommandBody::DispatchAction;
    if (isDispatch && isFirst.exchange(false)) {
      const auto other = m_fixture.Book(m_fixture.m_second, "k1");
      CHECK_EQUAL(200, other.m_status);
    }
  });
  const TestResponse first = m_fixture.Book(m_fixture.m_first, "k1");
  CHECK_EQUAL(200, first.m_status);
  CHECK_EQUAL(1, m_fixture.m_service.Runs());
}

TEST(Action, VmThatWasGivenUpSendsNothing)
{
  m_fixture.m_control.SetBefore([&](const state::CommandT& aCommand) {
    if (aCommand.body.type == state::CommandBody::DispatchAction) {
      state::GatewayGoneT gone;
      gone.gateway = "vm1";
      gone.gateway_epoch = 1;
      gone.unix_ms = SystemClock().UnixMs();
      m_fixture.m_control.Apply(MakeCommand(gone));
    }
  });
  const TestResponse response = m_fixture.Book(m_fixture.m_first, "k1");
  STRCMP_EQUAL("not_run", ErrorField(response, "outcome").c_str());
  CHECK_EQUAL(0, m_fixture.m_service.Runs());
}

TEST(Action, SameKeyWithAnotherBodyIsRefused)
{
  m_fixture.Book(m_fixture.m_first, "k1");
  const TestResponse response = SendHttp(
    m_fixture.m_second.Port(),
    "POST",
    "/v1/services/escort/bookings",
    { { "Authorization", "Bearer secret" }, { "Idempotency-Key", "k1" } },
    R"({"ship":"Another"})");
  CHECK_EQUAL(422, response.m_status);
  STRCMP_EQUAL("idempotency_key_reused", ErrorField(response, "code").c_str());
  CHECK_EQUAL(1, m_fixture.m_service.Runs());
}

TEST(Action, OutcomeCanBeAskedForThroughAnotherVm)
{
  m_fixture.Book(m_fixture.m_first, "k1");
  const TestResponse response =
    SendHttp(m_fixture.m_second.Port(),
             "GET",
             "/v1/actions/k1",
             { { "Authorization", "Bearer secret" } },
             "");
  CHECK_EQUAL(200, response.m_status);
  CHECK(response.m_body.find("\"outcome\":\"done\"") != std::string::npos);
}

TEST(Action, HasASpanForEachStepOfTheLedgerAndForTheService)
{
  const TestResponse response = m_fixture.Book(m_fixture.m_first, "k1");
  const std::string parent = response.Header("traceparent");
  const std::string trace = parent.substr(3, 32);
  // The spans are kept once the exchange has ended, just after its answer.
  std::string spans;
  while (spans.find("exchange") == std::string::npos) {
    spans = SendHttp(m_fixture.m_first.Port(),
                     "GET",
                     "/v1/admin/traces/" + trace,
                     { { "Authorization", "Bearer operator" } },
                     "")
              .m_body;
  }
  for (const char* name : { "ledger ReserveAction",
                            "ledger DispatchAction",
                            "service",
                            "ledger CompleteAction",
                            "action" }) {
    STRCMP_CONTAINS(name, spans.c_str());
  }
}
