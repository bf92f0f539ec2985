// Tests of answers that are broken off since all together exceed their budget.
#include <algorithm>

#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr int kCallersAtOnce = 8;
constexpr int kBudgetBytes = 64 * 1024;

// Returns the head of an answer that ends with its connection.
std::string
MakeStreamOpening(const HttpRequest& aRequest)
{
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + AttemptIdOf(aRequest) +
         "\r\nResponse-Signature: s1\r\n\r\n";
}

} // namespace

// clang-format off
TEST_GROUP(AnswerBudget)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();

  void teardown() override { m_fixture.reset(); }

  int OverBudget() const
  {
    return m_fixture->MetricOf("parsleycove_answers_over_budget_total");
  }
};
// clang-format on

// More sound answers than the budget holds arrive at once.
TEST(AnswerBudget, AnEndpointOfLargeAnswersIsNotBlamedForTheBudget)
{
  int calls = 0;
  bool mayEnd = false;
  m_fixture->m_options.m_answerBudgetBytes = kBudgetBytes;
  m_fixture->PutConfig();
  m_fixture->AddPlainEndpoint().SetScript(
    [&](const HttpRequest& aRequest) -> std::vector<StubStep> {
      const std::string answer =
        MakeAnswer(AttemptIdOf(aRequest), 200, std::string(kBudgetBytes, 'x'));
      const std::size_t half = answer.size() / 2;
      ++calls;
      return { Send(answer.substr(0, half)),
               Await([&] { return mayEnd; }),
               Send(answer.substr(half)) };
    });
  m_fixture->Start();
  std::vector<std::unique_ptr<ForwardFixture::Caller>> callers;
  for (int i = 0; i < kCallersAtOnce; ++i) {
    callers.push_back(m_fixture->Connect());
    callers.back()->Send(MakeRequest("POST", "/unsafe/x", "", "b"));
  }
  CHECK(m_fixture->RunUntil(
    [&] { return calls == kCallersAtOnce && OverBudget() >= 4; }));
  mayEnd = true;
  const auto count = [&](int aStatus) {
    return std::count_if(
      callers.begin(), callers.end(), [&](const auto& aCaller) {
        return StatusOf(aCaller->Received()) == aStatus;
      });
  };
  CHECK(m_fixture->RunUntil(
    [&] { return count(200) + count(502) == kCallersAtOnce; }));
  CHECK_EQUAL(OverBudget(), count(502));
  CHECK_FALSE(m_fixture->m_sink.Has({ "endpoint_suspected" }));
  CHECK(m_fixture->m_sink.Has({ "over_budget" }));
  CHECK_EQUAL(200, StatusOf(m_fixture->SendRequest("POST", "/unsafe/x")));
}

TEST(AnswerBudget, AStreamBrokenOffForTheBudgetIsNotSentAgain)
{
  constexpr int kLimitBytes = 512 * 1024;
  int calls = 0;
  m_fixture->m_options.m_answerBudgetBytes = kLimitBytes;
  m_fixture->PutConfig();
  for (int i = 0; i < 2; ++i) {
    m_fixture->AddEngine(0, 4).SetScript(
      WithEngineState([&](const HttpRequest& aRequest) {
        ++calls;
        return std::vector<StubStep>{ Send(MakeStreamOpening(aRequest) +
                                           std::string(kLimitBytes, 'x')),
                                      Hang() };
      }));
  }
  m_fixture->Start();
  std::vector<std::unique_ptr<ForwardFixture::Caller>> callers;
  for (int i = 0; i < kCallersAtOnce; ++i) {
    callers.push_back(m_fixture->Connect());
    callers.back()->Send(
      MakeRequest("POST", "/stream/x", kStreamHeader, "prompt"));
  }
  CHECK(m_fixture->RunUntil([&] {
    return std::any_of(callers.begin(), callers.end(), [](const auto& aCaller) {
      return StatusOf(aCaller->Received()) == 502;
    });
  }));
  CHECK(OverBudget() >= 1);
  CHECK_EQUAL(0, m_fixture->MetricOf("parsleycove_repeats_total"));
  CHECK(m_fixture->m_sink.Has({ "over_budget" }));
}

TEST(AnswerBudget, AnEndpointOfAnswersWithoutALengthIsBlamed)
{
  int calls = 0;
  m_fixture->m_options.m_answerBudgetBytes = kBudgetBytes;
  m_fixture->PutConfig();
  m_fixture->AddPlainEndpoint().SetScript(
    [&](const HttpRequest& aRequest) -> std::vector<StubStep> {
      ++calls;
      return { Send(MakeStreamOpening(aRequest) +
                    std::string(kBudgetBytes / 2, 'x')),
               Hang() };
    });
  m_fixture->Start();
  std::vector<std::unique_ptr<ForwardFixture::Caller>> callers;
  for (int i = 0; i < kCallersAtOnce; ++i) {
    callers.push_back(m_fixture->Connect());
    callers.back()->Send(MakeRequest("POST", "/unsafe/x", "", "b"));
  }
  CHECK(m_fixture->RunUntil([&] { return OverBudget() >= 4; }));
  CHECK(m_fixture->RunUntil(
    [&] { return m_fixture->m_sink.Has({ "endpoint_suspected" }); }));
  CHECK_FALSE(m_fixture->m_sink.Has({ "\"over_budget\"" }));
}
