// Tests the platform's headers and messages of forwarding.
#include <string>

#include "PlatformDialect.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

// clang-format off
TEST_GROUP(PlatformDialect)
{
  const platform::PlatformDialect m_dialect{};
  boost::beast::http::fields m_fields;
};
// clang-format on

TEST(PlatformDialect, ReadsWhatACallerSays)
{
  m_fields.set("attempt-id", "a1");
  m_fields.set("Deadline-Ms", "20000");
  m_fields.set("Authorization", "Bearer k1");
  m_fields.set("Token-Usage", "1460,80");
  m_fields.set("Length-Hint", "60");
  m_fields.set("Last-Event-Id", "12");
  const CallerHeaders headers = m_dialect.ParseCallerHeaders(m_fields);
  CHECK(headers.m_attemptId == "a1");
  CHECK(headers.m_timeout == std::chrono::seconds(20));
  CHECK(headers.m_apiKey == "k1");
  CHECK_EQUAL(1460U, headers.m_promptTokens);
  CHECK_EQUAL(80U, headers.m_maxAnswerTokens);
  CHECK_EQUAL(60U, headers.m_expectedAnswerTokens);
  CHECK_EQUAL(12U, *headers.m_lastEventId);
}

TEST(PlatformDialect, LimitsHugeCountsOfTokens)
{
  m_fields.set("Token-Usage", "4294967295,2147483648");
  m_fields.set("Length-Hint", "1000001");
  const CallerHeaders headers = m_dialect.ParseCallerHeaders(m_fields);
  CHECK_EQUAL(1'000'000U, headers.m_promptTokens);
  CHECK_EQUAL(1'000'000U, headers.m_maxAnswerTokens);
  CHECK_EQUAL(1'000'000U, headers.m_expectedAnswerTokens);
}

TEST(PlatformDialect, ReadsThePartsThatOtherPromptsMayShare)
{
  m_fields.set("Prompt-Prefix", "5c1e:800, 91bd:410,e440:250");
  CallerHeaders headers = m_dialect.ParseCallerHeaders(m_fields);
  CHECK_EQUAL(2U, headers.m_sharedParts.size());
  CHECK(headers.m_sharedParts[0] == "5c1e");
  CHECK(headers.m_sharedParts[1] == "91bd");
  m_fields.set("Prompt-Prefix", "5c1e:800");
  CHECK(m_dialect.ParseCallerHeaders(m_fields).m_sharedParts.empty());
  m_fields.set("Prompt-Prefix", ",:,a,b:");
  headers = m_dialect.ParseCallerHeaders(m_fields);
  CHECK_EQUAL(1U, headers.m_sharedParts.size());
  CHECK(headers.m_sharedParts[0] == "a");
  m_fields.set("Prompt-Prefix", std::string(1000, ','));
  CHECK(m_dialect.ParseCallerHeaders(m_fields).m_sharedParts.empty());
}

TEST(PlatformDialect, PassesOverWhatCannotBeRead)
{
  m_fields.set("Deadline-Ms", "soon");
  m_fields.set("Authorization", "Basic x");
  m_fields.set("Token-Usage", "7");
  const CallerHeaders headers = m_dialect.ParseCallerHeaders(m_fields);
  CHECK_FALSE(headers.m_timeout.has_value());
  CHECK(headers.m_apiKey.empty());
  CHECK_EQUAL(0U, headers.m_promptTokens);
}

TEST(PlatformDialect, ReadsAnAnswersMarks)
{
  m_fields.set("Attempt-Id", "a1");
  m_fields.set("Response-Signature", "s");
  m_fields.set("Instance-Load", "3,1,8");
  const AnswerHeaders headers = m_dialect.ParseAnswerHeaders(200, m_fields);
  CHECK(headers.m_isSigned);
  CHECK_FALSE(headers.m_isNotExecuted);
  CHECK_EQUAL(3U, headers.m_load->m_running);
  CHECK_EQUAL(1U, headers.m_load->m_waiting);
  CHECK_EQUAL(8U, headers.m_load->m_slots);
}

TEST(PlatformDialect, OnlyTheMarkOr421SaysThatNothingRan)
{
  CHECK_FALSE(m_dialect.ParseAnswerHeaders(503, m_fields).m_isNotExecuted);
  CHECK(m_dialect.ParseAnswerHeaders(421, m_fields).m_isNotExecuted);
  m_fields.set("Not-Executed", "1");
  CHECK(m_dialect.ParseAnswerHeaders(503, m_fields).m_isNotExecuted);
}

TEST(PlatformDialect, StatusesThatPromiseAreKnown)
{
  for (const unsigned status : { 408U, 421U, 429U, 503U }) {
    CHECK(m_dialect.IsNotExecutedStatus(status));
  }
  for (const unsigned status : { 200U, 404U, 500U, 502U, 504U }) {
    CHECK_FALSE(m_dialect.IsNotExecutedStatus(status));
  }
}

TEST(PlatformDialect, ReadsAnEnginesState)
{
  const auto state = m_dialect.ParseEngineState(R"({"pace":2.5,"born":77})");
  DOUBLES_EQUAL(2.5, state->m_slowdown, 1e-9);
  CHECK_EQUAL(77U, *state->m_incarnation);
  CHECK_FALSE(m_dialect.ParseEngineState("no json").has_value());
}

TEST(PlatformDialect, WritesAnOrderToTakeAnotherPath)
{
  boost::intrusive_ptr<Runner> first(new Runner());
  first->m_id = "e1";
  first->m_address = { "10.0.0.1", 8080 };
  boost::intrusive_ptr<Runner> second(new Runner());
  second->m_address = { "10.0.0.2", 8081 };
  StagePath path;
  path.m_stages = { { first, { 0, 20 }, 0 }, { second, { 20, 80 }, 0 } };
  const HttpRequest order = m_dialect.MakeRerouteOrder("a1", path);
  STRCMP_EQUAL("{\"operation\":\"repath\",\"id\":\"a1\","
               "\"path\":\"10.0.0.1:8080=0-20,10.0.0.2:8081=20-80\"}",
               order.body().c_str());
  CHECK(order.target() == "/parsleycove/order");
  CHECK(order["Expect-Instance"] == "e1");
}

TEST(PlatformDialect, ReadsWhyAnotherPathWasRefused)
{
  CHECK(m_dialect.ParseRerouteAnswer(202, "").m_isAccepted);
  CHECK(m_dialect.ParseRerouteAnswer(200, "{}").m_isAccepted);
  const RerouteAnswer full =
    m_dialect.ParseRerouteAnswer(409, "{\"address\":\"10.0.0.2:8081\"}");
  CHECK_FALSE(full.m_isAccepted);
  STRCMP_EQUAL("10.0.0.2:8081", full.m_faultAddress.c_str());
  CHECK(m_dialect.ParseRerouteAnswer(409, "{\"address\":7}")
          .m_faultAddress.empty());
  CHECK(m_dialect.ParseRerouteAnswer(404, "no JSON").m_faultAddress.empty());
  CHECK_FALSE(m_dialect.ParseRerouteAnswer(404, "").m_isAccepted);
}

TEST(PlatformDialect, ReadsThatARunnerLeaves)
{
  CHECK_FALSE(m_dialect.ParseAnswerHeaders(200, m_fields).m_isLeaving);
  m_fields.set("Server-Leaving", " 1 ");
  for (const unsigned status : { 200U, 421U, 503U }) {
    const AnswerHeaders headers =
      m_dialect.ParseAnswerHeaders(status, m_fields);
    CHECK(headers.m_isLeaving);
    CHECK(headers.m_unreadable.empty());
  }
  m_fields.set("Server-Leaving", "0");
  CHECK_FALSE(m_dialect.ParseAnswerHeaders(200, m_fields).m_isLeaving);
}

TEST(PlatformDialect, ReadsThePauseOfARefusalOnly)
{
  m_fields.set("Retry-After", "1.25");
  CHECK(m_dialect.ParseAnswerHeaders(503, m_fields).m_pause ==
        std::chrono::milliseconds(1250));
  CHECK_FALSE(m_dialect.ParseAnswerHeaders(429, m_fields).m_pause.has_value());
  m_fields.set("Retry-After", "0");
  CHECK(m_dialect.ParseAnswerHeaders(503, m_fields).m_pause ==
        Duration::zero());
}

TEST(PlatformDialect, NamesAPauseThatCannotBeReadAndTakesNone)
{
  for (const char* text : { "", "-1", "soon", "nan", "inf", "1e999", "1,5" }) {
    m_fields.set("Retry-After", text);
    const AnswerHeaders headers = m_dialect.ParseAnswerHeaders(503, m_fields);
    CHECK_TEXT(!headers.m_pause.has_value(), text);
    CHECK(headers.m_unreadable == "Retry-After");
  }
  m_fields.set("Retry-After", std::string(10'000, '9'));
  CHECK_FALSE(m_dialect.ParseAnswerHeaders(503, m_fields).m_pause.has_value());
}

TEST(PlatformDialect, LimitsAHugePauseAndTakesTheLongestOfTwo)
{
  m_fields.set("Retry-After", "86400");
  const AnswerHeaders huge = m_dialect.ParseAnswerHeaders(503, m_fields);
  CHECK(huge.m_pause == std::chrono::minutes(10));
  CHECK(huge.m_unreadable == "Retry-After");
  m_fields.set("Retry-After", "0.5");
  m_fields.insert("Retry-After", "2");
  m_fields.insert("Retry-After", "x");
  const AnswerHeaders twice = m_dialect.ParseAnswerHeaders(503, m_fields);
  CHECK(twice.m_pause == std::chrono::seconds(2));
  CHECK(twice.m_unreadable == "Retry-After");
}

TEST(PlatformDialect, ReadsTheLimitOfAnyAnswer)
{
  for (const unsigned status : { 200U, 500U, 503U }) {
    m_fields.set("Server-Limit", " 11.25 ");
    const AnswerHeaders headers =
      m_dialect.ParseAnswerHeaders(status, m_fields);
    DOUBLES_EQUAL(11.25, headers.m_requestLimit.value(), 1e-9);
    CHECK(headers.m_unreadable.empty());
  }
  m_fields.set("Server-Limit", "0");
  DOUBLES_EQUAL(
    0, m_dialect.ParseAnswerHeaders(200, m_fields).m_requestLimit.value(), 0);
  m_fields.erase("Server-Limit");
  CHECK_FALSE(
    m_dialect.ParseAnswerHeaders(200, m_fields).m_requestLimit.has_value());
}

TEST(PlatformDialect, NamesALimitThatCannotBeReadAndTakesTheSmallestOfTwo)
{
  for (const char* text : { "", "-1", "many", "nan", "inf", "1e999", "1,5" }) {
    m_fields.set("Server-Limit", text);
    const AnswerHeaders headers = m_dialect.ParseAnswerHeaders(200, m_fields);
    CHECK_TEXT(!headers.m_requestLimit.has_value(), text);
    CHECK(headers.m_unreadable == "Server-Limit");
  }
  m_fields.set("Server-Limit", "7");
  m_fields.insert("Server-Limit", "3.5");
  const AnswerHeaders twice = m_dialect.ParseAnswerHeaders(200, m_fields);
  DOUBLES_EQUAL(3.5, twice.m_requestLimit.value(), 1e-9);
  CHECK(twice.m_unreadable == "Server-Limit");
}

TEST(PlatformDialect, ALeavingMarkThatCannotBeReadIsNamed)
{
  for (const std::string& text :
       { std::string(), std::string("-1"), std::string(10'000, '1') }) {
    m_fields.set("Server-Leaving", text);
    const AnswerHeaders headers = m_dialect.ParseAnswerHeaders(200, m_fields);
    CHECK_FALSE(headers.m_isLeaving);
    CHECK(headers.m_unreadable == "Server-Leaving");
  }
  m_fields.insert("Server-Leaving", "1");
  CHECK(m_dialect.ParseAnswerHeaders(200, m_fields).m_isLeaving);
}
