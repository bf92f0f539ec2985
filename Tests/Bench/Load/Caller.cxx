// Sends one planned request and judges its answer.
#include "Bench/Load/Caller.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "Support/ToyModel.h"

namespace parsleycove::load {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::chrono::seconds kTimeout(30);
constexpr unsigned kOk = 200;
constexpr unsigned kTooMany = 429;
constexpr unsigned kUnavailable = 503;

using Request = http::request<http::string_body>;

Request
MakeRequest(const LoadOptions& aOptions, const PlannedRequest& aRequest)
{
  Request request(http::verb::post, "/v1/chat/completions", 11);
  request.set(http::field::host, "gateway");
  request.set(http::field::authorization,
              "Bearer " + aOptions.m_accountKeys[aRequest.m_account]);
  request.set(http::field::content_type, "application/json");
  request.keep_alive(false);
  const std::string service = "/v1/services/" + aOptions.m_service;
  boost::json::object body;
  switch (aRequest.m_kind) {
    case RequestKind::Briefing: {
      boost::json::object message;
      message["role"] = "user";
      message["content"] = aRequest.m_text;
      body["model"] = aOptions.m_model;
      body["seed"] = aRequest.m_seed;
      body["max_tokens"] = aOptions.m_maxTokens;
      body["stream"] = true;
      body["messages"] = boost::json::array{ message };
      break;
    }
    case RequestKind::Booking:
      request.target(service + "/bookings");
      request.set("X-Work-Class", "booking");
      request.set("Idempotency-Key", aRequest.m_text);
      body["slot"] = aRequest.m_text;
      break;
    case RequestKind::Lookup:
      request.method(http::verb::get);
      request.target(service + "/status/" + aRequest.m_text);
      request.set("X-Work-Class", "lookup");
      return request;
  }
  request.body() = boost::json::serialize(body);
  request.prepare_payload();
  return request;
}

// Takes the events that arrived since the last call out of a stream's body.
class EventReader
{
public:
  void Take(const std::string& aBody, std::chrono::nanoseconds aNow)
  {
    for (;;) {
      const std::size_t end = aBody.find("\n\n", m_read);
      if (end == std::string::npos) {
        return;
      }
      TakeEvent(aBody.substr(m_read, end - m_read), aNow);
      m_read = end + 2;
    }
  }

  std::string m_text;
  bool m_done = false;
  std::vector<std::chrono::nanoseconds> m_tokens;

private:
  void TakeEvent(const std::string& aEvent, std::chrono::nanoseconds aNow)
  {
    constexpr std::string_view data = "data: ";
    if (!aEvent.starts_with(data)) {
      return;
    }
    const std::string payload = aEvent.substr(data.size());
    if (payload == "[DONE]") {
      m_done = true;
      return;
    }
    boost::json::error_code error;
    const boost::json::value event = boost::json::parse(payload, error);
    if (error) {
      return;
    }
    const auto& choice = event.as_object().at("choices").as_array().at(0);
    const auto& delta = choice.as_object().at("delta").as_object();
    if (const auto* content = delta.if_contains("content")) {
      m_text += content->as_string().c_str();
      m_tokens.push_back(aNow);
    }
  }

  std::size_t m_read = 0;
};

Verdict
JudgeStatus(unsigned aStatus)
{
  if (aStatus == kTooMany || aStatus == kUnavailable) {
    return Verdict::Refused;
  }
  return Verdict::Unknown;
}

Verdict
JudgeBriefing(const LoadOptions& aOptions,
              const PlannedRequest& aRequest,
              const EventReader& aEvents)
{
  if (!aEvents.m_done) {
    return Verdict::Unknown;
  }
  const std::string right = toy::Generate("user: " + aRequest.m_text + '\n',
                                          aOptions.m_layers,
                                          aRequest.m_seed,
                                          aOptions.m_maxTokens);
  return aEvents.m_text == right ? Verdict::Right : Verdict::Wrong;
}

void
NoteTokens(const EventReader& aEvents, Outcome& aOutcome)
{
  for (std::size_t i = 0; i < aEvents.m_tokens.size(); ++i) {
    if (i == 0) {
      aOutcome.m_firstToken = aEvents.m_tokens[0];
    } else {
      aOutcome.m_intervals.push_back(aEvents.m_tokens[i] -
                                     aEvents.m_tokens[i - 1]);
    }
  }
}

} // namespace

asio::awaitable<Outcome>
SendRequest(const LoadOptions& aOptions,
            const PlannedRequest& aRequest,
            TimePoint aScheduled)
{
  constexpr auto use = asio::as_tuple(asio::use_awaitable);
  Outcome outcome;
  const auto since = [aScheduled] {
    return std::chrono::nanoseconds(std::chrono::steady_clock::now() -
                                    aScheduled);
  };
  const SocketAddress& gateway = aOptions.m_gateways[aRequest.m_gateway];
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(kTimeout);
  const asio::ip::tcp::endpoint endpoint(
    asio::ip::make_address(gateway.m_address), gateway.m_port);
  const auto [connectError] = co_await stream.async_connect(endpoint, use);
  if (connectError) {
    outcome.m_verdict = Verdict::Refused;
    outcome.m_end = since();
    co_return outcome;
  }
  const Request request = MakeRequest(aOptions, aRequest);
  const auto [writeError, written] =
    co_await http::async_write(stream, request, use);
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  EventReader events;
  bool failed = static_cast<bool>(writeError);
  while (!failed && !parser.is_done()) {
    const auto [readError, size] =
      co_await http::async_read_some(stream, buffer, parser, use);
    failed = static_cast<bool>(readError);
    if (aRequest.m_kind == RequestKind::Briefing) {
      events.Take(parser.get().body(), since());
    }
  }
  outcome.m_end = since();
  if (failed) {
    co_return outcome;
  }
  const unsigned status = parser.get().result_int();
  const std::string& body = parser.get().body();
  outcome.m_toldNotRun = body.find("\"not_run\"") != std::string::npos;
  if (status != kOk) {
    outcome.m_verdict = JudgeStatus(status);
  } else if (aRequest.m_kind == RequestKind::Briefing) {
    outcome.m_verdict = JudgeBriefing(aOptions, aRequest, events);
    NoteTokens(events, outcome);
  } else {
    const bool echoed = body.find(aRequest.m_text) != std::string::npos;
    outcome.m_verdict = echoed ? Verdict::Right : Verdict::Wrong;
  }
  co_return outcome;
}

} // namespace parsleycove::load
