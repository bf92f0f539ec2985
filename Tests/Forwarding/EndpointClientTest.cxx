// Tests of the client of probes and orders: bytes without end, bytes left over.
#include "Forwarding/EndpointClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Forwarding/StubEndpoint.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr std::chrono::seconds kCallTimeout{ 2 };
const std::string kChunkedHead =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// clang-format off
TEST_GROUP(EndpointClient)
{
  // Returns the result of the last of aCalls calls that the endpoint answers by
  // aSteps.
  CallResult Call(const std::vector<StubStep>& aSteps, int aCalls = 1)
  {
    asio::io_context context;
    StubEndpoint endpoint(context);
    endpoint.SetScript([&](const HttpRequest&) { return aSteps; });
    EndpointClient client(context.get_executor());
    const SocketAddress address{ "127.0.0.1", endpoint.Port() };
    std::optional<CallResult> result;
    asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        CallResult last;
        for (int i = 0; i < aCalls; ++i) {
          last = co_await client.Call(
            address,
            EndpointClient::MakeJsonPost(address, "/x", "{}"),
            kCallTimeout,
            ConnectionChoice::Reuse);
        }
        result = std::move(last);
      },
      asio::detached);
    while (!result) {
      context.run_one();
    }
    m_connections = endpoint.Connections();
    m_floodBytes = endpoint.FloodBytes();
    return *result;
  }
  // Checks that the call ends before its time-out and before the flood.
  void CheckBroken(const std::string& aBegin, const std::string& aAgain)
  {
    std::string again;
    while (again.size() < 4096) {
      again += aAgain;
    }
    const CallResult result = Call({ Send(aBegin), Flood(again) });
    CHECK_FALSE(result.m_response.has_value());
    CHECK_FALSE(result.m_hasTimedOut);
    CHECK(result.m_reason.m_code == CallError::Broken);
    CHECK(m_floodBytes < kMaxFloodBytes);
  }

  std::size_t m_floodBytes = 0;
  int m_connections = 0;
};
// clang-format on

TEST(EndpointClient, AHeadWithoutEndBreaksTheCall)
{
  CheckBroken("HTTP/1.1 200 ", "x");
  CheckBroken("HTTP/1.1 200 OK\r\n", "X-A: b\r\n");
}

TEST(EndpointClient, ABodyWithoutEndBreaksTheCall)
{
  CheckBroken("HTTP/1.1 200 OK\r\n\r\n", "x");
}

TEST(EndpointClient, AChunkHeaderWithoutEndBreaksTheCall)
{
  CheckBroken(kChunkedHead + "5;name=", "x");
  CheckBroken(kChunkedHead + "0\r\n", "X-A: b\r\n");
}

TEST(EndpointClient, AMalformedHeadBreaksTheCall)
{
  const std::string end = "Content-Length: 2\r\n\r\n{}";
  for (const std::string& head : { "HTTP/1.1 000 OK\r\n" + end,
                                   "HTTP/1.1 101 OK\r\n" + end,
                                   "HTTP/1.1 200 OK\r\nX-A: b\r\n " + end,
                                   "HTTP/1.1 200 OK\r\nX A: b\r\n" + end,
                                   std::string("HTTP/1.1 200 OK\r\nX-A: b") }) {
    const CallResult result = Call({ Send(head), CloseNow() });
    CHECK_FALSE_TEXT(result.m_response.has_value(), head.c_str());
    CHECK(result.m_reason.m_code == CallError::Broken);
  }
}

TEST(EndpointClient, InterimAnswersAreSkippedButNotWithoutEnd)
{
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const CallResult result = Call({ Send(
    interim + interim + "HTTP/1.1 404 None\r\nContent-Length: 2\r\n\r\n{}") });
  CHECK(result.m_response.has_value());
  CHECK_EQUAL(404, result.m_response->result_int());
  CheckBroken(interim, interim);
}

TEST(EndpointClient, AnswersWithoutEndAreHeldWithinOneLimit)
{
  asio::io_context context;
  StubEndpoint endpoint(context);
  // Two bodies within the limit of one, neither of which ends.
  endpoint.SetScript([](const HttpRequest&) {
    return std::vector<StubStep>{
      Send("HTTP/1.1 200 OK\r\n\r\n" + std::string(1024UL * 1024, 'x')), Hang()
    };
  });
  EndpointClient client(context.get_executor(), 64UL * 1024);
  const SocketAddress address{ "127.0.0.1", endpoint.Port() };
  std::vector<CallResult> results;
  for (int i = 0; i < 2; ++i) {
    asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        results.push_back(co_await client.Call(
          address,
          EndpointClient::MakeJsonPost(address, "/x", "{}"),
          kCallTimeout,
          ConnectionChoice::New));
      },
      asio::detached);
  }
  while (results.size() < 2) {
    context.run_one();
  }
  CHECK_FALSE(results.front().m_hasTimedOut);
  CHECK(results.front().m_reason.m_code == CallError::Broken);
  // The largest alone may be held.
  CHECK(results.back().m_hasTimedOut);
}

TEST(EndpointClient, AConnectionWithBytesLeftOverIsNotUsedAgain)
{
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  Call({ Send(answer) }, 2);
  CHECK_EQUAL(1, m_connections);
  Call({ Send(answer + answer) }, 2);
  CHECK_EQUAL(2, m_connections);
}
