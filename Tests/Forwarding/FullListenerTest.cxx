// Tests that ordinary callers are answered while clients that keep to no limit
// hold as many connections as a listener may have, over real connections.
#include "Forwarding/ForwardFixture.h"
#include "Forwarding/HttpService.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr std::size_t kLimit = 8;
constexpr int kLongMs = 20'000;

// A request that stops just short of the end of its body.
std::string
MakeUnfinished()
{
  return "POST /unsafe/x HTTP/1.1\r\nHost: one.example\r\n"
         "Authorization: Bearer k1\r\nAttempt-Id: crowd\r\n"
         "Transfer-Encoding: chunked\r\n\r\n100\r\n" +
         std::string(255, 'x');
}

} // namespace

// clang-format off
TEST_GROUP(FullListener)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();
  StubEndpoint* m_endpoint = nullptr;
  std::vector<std::unique_ptr<ForwardFixture::Caller>> m_crowd;

  void setup() override
  {
    m_fixture->m_options.m_maxConnections = kLimit;
    m_fixture->m_plainTimeoutMs = kLongMs;
    m_fixture->PutConfig();
    m_endpoint = &m_fixture->AddPlainEndpoint();
    m_endpoint->SetScript([](const HttpRequest& aRequest) {
      return std::vector<StubStep>{ Send(
        MakeAnswer(AttemptIdOf(aRequest), 200, "done")) };
    });
    m_fixture->Start();
    CHECK_EQUAL(200, Ask());
  }
  void teardown() override
  {
    m_crowd.clear();
    m_fixture.reset();
  }
  int Ask() { return StatusOf(m_fixture->SendRequest("GET", "/safe/x")); }
  void Hold(const std::string& aBytes, std::uint16_t aPort = 0)
  {
    for (std::size_t i = 0; i < kLimit; ++i) {
      m_crowd.push_back(m_fixture->Connect(aPort));
      if (!aBytes.empty()) {
        m_crowd.back()->Send(aBytes);
      }
    }
    const TimePoint until = BootClock::now() + std::chrono::milliseconds(1200);
    m_fixture->RunUntil([&] { return BootClock::now() >= until; });
  }
  // Fills the listener with requests that no endpoint answers.
  void HoldServed()
  {
    m_endpoint->SetScript(
      [](const HttpRequest&) { return std::vector<StubStep>{ Hang() }; });
    for (std::size_t i = 0; i < kLimit; ++i) {
      m_crowd.push_back(m_fixture->Connect());
      m_crowd.back()->Send(MakeRequest("POST", "/unsafe/x"));
    }
    CHECK(
      m_fixture->RunUntil([&] { return AttemptsAt(*m_endpoint) > kLimit; }));
  }
  bool IsReady() const
  {
    return m_fixture->m_gateway->IsReady(BootClock::now());
  }
  std::size_t Closed() const
  {
    std::size_t closed = 0;
    for (const auto& caller : m_crowd) {
      closed += caller->IsClosed() ? 1 : 0;
    }
    return closed;
  }
};
// clang-format on

TEST(FullListener, UnfinishedRequestsAreGivenUpForOrdinaryCallers)
{
  Hold(MakeUnfinished());
  CHECK_EQUAL(0U, Closed());
  for (int i = 0; i < 4; ++i) {
    CHECK_EQUAL(200, Ask());
  }
  // The place of each ordinary caller is free again after its answer.
  CHECK_COMPARE(Closed(), >=, std::size_t{ 1 });
  CHECK_COMPARE(Closed(), <=, std::size_t{ 4 });
}

TEST(FullListener, ConnectionsThatSendNothingAreGivenUpForOrdinaryCallers)
{
  Hold("");
  for (int i = 0; i < 4; ++i) {
    CHECK_EQUAL(200, Ask());
  }
}

TEST(FullListener, RequestsThatAreServedKeepTheirConnections)
{
  HoldServed();
  // 0: closed without an answer.
  CHECK_EQUAL(0, Ask());
  for (const auto& caller : m_crowd) {
    CHECK_FALSE(caller->IsClosed() && caller->Received().empty());
  }
}

TEST(FullListener, AVmThatTurnsItsCallersAwayIsNotReadyUntilItHasPlaces)
{
  HoldServed();
  CHECK_TRUE(IsReady());
  CHECK(m_fixture->RunUntil([&] {
    CHECK_EQUAL(0, Ask());
    return !IsReady();
  }));
  m_crowd.clear();
  CHECK(m_fixture->RunUntil([&] { return IsReady(); }));
  m_endpoint->SetScript([](const HttpRequest& aRequest) {
    return std::vector<StubStep>{ Send(
      MakeAnswer(AttemptIdOf(aRequest), 200, "done")) };
  });
  CHECK_EQUAL(200, Ask());
}

// The listener of control VMs for operators and endpoints is of this kind.
TEST(FullListener, AServiceGivesUpUnfinishedRequestsForOrdinaryOnes)
{
  HttpServiceLimits limits;
  limits.m_maxConnections = kLimit;
  HttpService service(
    m_fixture->m_context,
    [](const HttpRequest&) -> asio::awaitable<HttpResponse> {
      co_return MakeTextAnswer(http::status::ok, "done");
    },
    limits);
  std::string reason;
  CHECK(service.Open({ "127.0.0.1", 0 }, reason));
  Hold(MakeUnfinished(), service.Port());
  CHECK_EQUAL(0U, Closed());
  for (int i = 0; i < 4; ++i) {
    CHECK_EQUAL(200,
                StatusOf(m_fixture->SendRequest(
                  "GET", "/x", "Connection: close\r\n", "", service.Port())));
  }
  CHECK_COMPARE(Closed(), >=, std::size_t{ 1 });
}
