// Tests of bad input: each case is a file with the request, the expected
// status and code, and a part of the expected message.
#include "Gateway/GatewayFixture.h"

#include <filesystem>
#include <fstream>
#include <iterator>

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

boost::json::object
ReadCase(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  return boost::json::parse(text).as_object();
}

std::string
TextOf(const boost::json::object& aCase, const char* aKey)
{
  const auto* value = aCase.if_contains(aKey);
  return value ? boost::json::value_to<std::string>(*value) : "";
}

TestResponse
SendCase(std::uint16_t aPort, const boost::json::object& aCase)
{
  if (aCase.contains("raw")) {
    return SendRaw(aPort, TextOf(aCase, "raw"));
  }
  std::vector<TestHeader> headers;
  if (const auto* list = aCase.if_contains("headers")) {
    for (const auto& [name, value] : list->as_object()) {
      headers.push_back(
        { std::string(name), boost::json::value_to<std::string>(value) });
    }
  }
  std::string body = TextOf(aCase, "body");
  if (const auto* repeat = aCase.if_contains("body_bytes")) {
    body.assign(repeat->to_number<std::size_t>(), 'x');
  }
  return SendHttp(
    aPort, TextOf(aCase, "method"), TextOf(aCase, "target"), headers, body);
}

} // namespace

TEST_GROUP(Input)
{
  GatewayFixture m_fixture;
};

TEST(Input, EveryBadRequestGetsItsErrorAndRunsNothing)
{
  int cases = 0;
  for (const auto& entry : std::filesystem::directory_iterator(CASES_FOLDER)) {
    const boost::json::object fields = ReadCase(entry.path());
    const std::string name = entry.path().filename();
    const TestResponse found = SendCase(m_fixture.m_first.Port(), fields);
    const auto status = fields.at("status").to_number<unsigned>();
    CHECK_EQUAL_TEXT(status, found.m_status, name.c_str());
    STRCMP_EQUAL_TEXT(TextOf(fields, "code").c_str(),
                      ErrorField(found, "code").c_str(),
                      name.c_str());
    STRCMP_CONTAINS_TEXT(TextOf(fields, "message").c_str(),
                         ErrorField(found, "message").c_str(),
                         name.c_str());
    ++cases;
  }
  CHECK(cases >= 15);
  CHECK_EQUAL(0, m_fixture.m_service.Runs());
}

TEST(Input, GoodRequestsAreServedAfterBadOnes)
{
  SendRaw(m_fixture.m_first.Port(), "\x16\x03\x01 not HTTP at all\r\n\r\n");
  const TestResponse response = m_fixture.Book(m_fixture.m_first, "k1");
  CHECK_EQUAL(200, response.m_status);
}

TEST(Input, WithoutALeaseNothingNewIsTaken)
{
  m_fixture.m_control.SetLease(false);
  const TestResponse response = m_fixture.Book(m_fixture.m_first, "k1");
  CHECK_EQUAL(503, response.m_status);
  STRCMP_EQUAL("not_ready", ErrorField(response, "code").c_str());
  const auto ready =
    SendHttp(m_fixture.m_first.Port(), "GET", "/readyz", {}, "");
  CHECK_EQUAL(503, ready.m_status);
  CHECK_EQUAL(0, m_fixture.m_service.Runs());
}

TEST(Input, OperatorsNeedTheirKey)
{
  const auto response = SendHttp(m_fixture.m_first.Port(),
                                 "GET",
                                 "/v1/admin/config",
                                 { { "Authorization", "Bearer secret" } },
                                 "");
  CHECK_EQUAL(401, response.m_status);
}
