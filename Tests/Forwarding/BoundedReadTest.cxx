// Tests of requests near and beyond the limits, over real connections.
#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StubEndpoint.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <vector>

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

// Limits of the fixture's configuration.
constexpr std::size_t kMaxBody = 4096;
constexpr char kChunkedHead[] = "Transfer-Encoding: chunked\r\n";

std::string
Repeat(const std::string& aText, std::size_t aCount)
{
  std::string all;
  for (std::size_t i = 0; i < aCount; ++i) {
    all += aText;
  }
  return all;
}

std::string
MakeChunks(std::size_t aChunkBytes)
{
  char line[16];
  std::snprintf(line, sizeof(line), "%zx\r\n", aChunkBytes);
  return Repeat(line + std::string(aChunkBytes, 'b') + "\r\n",
                kMaxBody / aChunkBytes);
}

} // namespace

TEST_GROUP(BoundedRead)
{
  std::unique_ptr<ForwardFixture> m_fixture;

  void setup() override
  {
    m_fixture = std::make_unique<ForwardFixture>();
    m_fixture->PutConfig();
    m_fixture->AddPlainEndpoint().SetScript(
      [this](const HttpRequest& aRequest) {
        m_bodies.push_back(aRequest.body());
        m_lastFields = aRequest.base();
        return std::vector<StubStep>{ Send(
          MakeAnswer(std::string(aRequest["Attempt-Id"]), 200, "done")) };
      });
  }
  void teardown() override
  {
    m_fixture.reset();
    m_bodies = {};
    m_lastFields.clear();
  }

  // Sends a chunked request and returns the status of its answer.
  int SendChunked(const std::string& aBody)
  {
    auto caller = m_fixture->Connect();
    caller->Send(MakeHead() + aBody);
    CHECK(m_fixture->RunUntil([&] { return caller->IsClosed(); }));
    return StatusOf(caller->Received());
  }

  static std::string MakeHead()
  {
    std::string head = MakeRequest(
      "POST", "/unsafe/x", kChunkedHead + std::string("Connection: close\r\n"));
    return head;
  }

  std::vector<std::string> m_bodies;
  // Header fields of the last request that reached the endpoint.
  http::fields m_lastFields;
};

TEST(BoundedRead, TheLargestBodyIsServedInChunksOfAnySize)
{
  m_fixture->Start();
  for (const std::size_t bytes : { 1, 2, 1024, 4096 }) {
    CHECK_EQUAL(200, SendChunked(MakeChunks(bytes) + "0\r\n\r\n"));
    CHECK_EQUAL(std::string(kMaxBody, 'b'), m_bodies.back());
  }
}

TEST(BoundedRead, TrailersWithinTheHeaderLimitAreServed)
{
  m_fixture->Start();
  CHECK_EQUAL(200,
              SendChunked("1\r\nb\r\n0\r\nTrailer-Field: " +
                          std::string(1500, 't') + "\r\n\r\n"));
}

TEST(BoundedRead, AFieldThatHidesTheBodysLengthIsRefused)
{
  m_fixture->Start();
  for (const char* fields : { "X-A: b\r\n Content-Length: 1\r\n",
                              "X-A:\r\n\tContent-Length: 1\r\n",
                              "X A: b\r\n",
                              "X-A : b\r\n",
                              "Transfer-Encoding: gzip\r\n",
                              "Transfer-Encoding: gzip, chunked\r\n",
                              "Transfer-Encoding: chunked, identity\r\n" }) {
    auto caller = m_fixture->Connect();
    caller->Send(MakeRequest("POST", "/unsafe/x", fields) +
                 MakeRequest("POST", "/unsafe/smuggled"));
    CHECK(m_fixture->RunUntil([&] { return caller->IsClosed(); }));
    CHECK_EQUAL_TEXT(400, StatusOf(caller->Received()), fields);
  }
  CHECK_EQUAL(0U, m_bodies.size());
}

TEST(BoundedRead, ATrailerIsNoFieldOfTheForwardedRequest)
{
  m_fixture->Start();
  CHECK_EQUAL(200, SendChunked("1\r\nb\r\n0\r\nX-Late: t\r\n\r\n"));
  CHECK_EQUAL(0U, m_lastFields.count("X-Late"));
}

TEST(BoundedRead, AHeaderOfTooManyFieldsIsRefused)
{
  m_fixture->Start();
  const auto send = [this](std::size_t aFields) {
    return StatusOf(
      m_fixture->SendRequest("POST", "/unsafe/x", Repeat("a:\r\n", aFields)));
  };
  CHECK_EQUAL(200, send(1000));
  CHECK_EQUAL(431, send(1025));
  CHECK_EQUAL(1U, m_bodies.size());
}

TEST(BoundedRead, AFieldThatAnyConnectionFieldNamesIsNotForwarded)
{
  m_fixture->Start();
  const std::string answer = m_fixture->SendRequest(
    "POST",
    "/unsafe/x",
    "Connection: keep-alive\r\nConnection: x-odd\r\nX-Odd: 1\r\nX-Even: 2\r\n");
  CHECK_EQUAL(200, StatusOf(answer));
  CHECK_EQUAL(1U, m_lastFields.count("X-Even"));
  CHECK_EQUAL(0U, m_lastFields.count("X-Odd"));
}

TEST(BoundedRead, EndlessTrailersAreRefused)
{
  m_fixture->Start();
  CHECK_EQUAL(
    431,
    SendChunked("1\r\nb\r\n0\r\n" +
                Repeat("Field: " + std::string(100, 't') + "\r\n", 400)));
  CHECK_EQUAL(0U, m_bodies.size());
}

TEST(BoundedRead, AnEndlessChunkExtensionIsRefused)
{
  m_fixture->Start();
  CHECK_EQUAL(431, SendChunked("1;name=" + std::string(40'000, 'e')));
}

TEST(BoundedRead, MoreFramingThanBodyIsRefused)
{
  m_fixture->Start();
  CHECK_EQUAL(
    400,
    SendChunked(Repeat("1;name=" + std::string(1000, 'e') + "\r\nb\r\n", 100)));
  CHECK_EQUAL(0U, m_bodies.size());
}

TEST(BoundedRead, ABodyBeyondTheLimitGetsItsAnswerThoughItIsStillSent)
{
  m_fixture->Start();
  CHECK_EQUAL(413, SendChunked(Repeat(MakeChunks(1024), 25)));
  CHECK_EQUAL(0U, m_bodies.size());
}

TEST(BoundedRead, AFullBudgetRefusesLargeRequestsAndServesSmallOnes)
{
  m_fixture->m_options.m_receiveBudgetBytes = 2 * kMaxBody;
  m_fixture->Start();
  std::vector<std::unique_ptr<ForwardFixture::Caller>> crowd;
  const auto isRefused = [](const auto& aCaller) {
    return StatusOf(aCaller->Received()) == 503 &&
           aCaller->Received().find("\r\nRetry-After: 1.") != std::string::npos;
  };
  for (int i = 0; i < 10; ++i) {
    crowd.push_back(m_fixture->Connect());
    crowd.back()->Send(MakeHead() + "fff\r\n" + std::string(4000, 'b'));
  }
  CHECK(m_fixture->RunUntil(
    [&] { return std::any_of(crowd.begin(), crowd.end(), isRefused); }));
  CHECK_EQUAL(0U, m_bodies.size());
  CHECK_EQUAL(200, SendChunked("1\r\nb\r\n0\r\n\r\n"));
}
