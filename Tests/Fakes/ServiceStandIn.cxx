// A plain-service stand-in: bookings that run once per call, and lookups.
#include "Fakes/ServiceStandIn.h"

#include <chrono>
#include <cstdio>

#include <unistd.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace parsleycove::fakes {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto kUse = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kDrainCheckInterval(20);
constexpr int kDeathExitCode = 9;

} // namespace

ServiceStandIn::ServiceStandIn(asio::io_context& aContext,
                               const ServiceOptions& aOptions)
  : m_context(aContext)
  , m_options(aOptions)
  , m_server(aContext, *this)
  , m_announcer(aContext,
                aOptions.m_gateways,
                aOptions.m_id,
                *this,
                m_server.Switches())
  , m_load(std::chrono::milliseconds(aOptions.m_loadLagMs))
{
}

void
ServiceStandIn::Start()
{
  m_server.Listen(m_options.m_listen);
  std::printf("ready %s\n", m_server.LocalAddress().ToString().c_str());
  std::fflush(stdout);
  m_announcer.Start(std::chrono::milliseconds(m_options.m_eventsMs));
}

Awaitable<void>
ServiceStandIn::Drain()
{
  co_await m_announcer.Leave();
  asio::steady_timer timer(m_context);
  do {
    timer.expires_after(kDrainCheckInterval);
    co_await timer.async_wait(kUse);
  } while (m_running > 0 || !m_waiting.empty());
  m_context.stop();
}

bool
ServiceStandIn::IsWork(const HttpRequest&) const
{
  return true;
}

Awaitable<HttpResponse>
ServiceStandIn::Handle(const HttpRequest& aRequest, Fate)
{
  Faults& faults = m_server.Switches();
  const bool books = aRequest.method() != http::verb::get;
  if (faults.RefusesWork()) {
    co_return JsonAnswer(503, R"({"error":"busy"})");
  }
  if (books && faults.SaysNotRun()) {
    co_return JsonAnswer(409, R"({"outcome":"not_run"})");
  }
  if (books && faults.DiesBeforeRunning()) {
    ::_exit(kDeathExitCode);
  }
  co_await TakeSlot();
  asio::steady_timer timer(m_context);
  const std::chrono::duration<double, std::milli> time(m_options.m_callMs);
  timer.expires_after(
    std::chrono::duration_cast<std::chrono::nanoseconds>(time));
  co_await timer.async_wait(kUse);
  HttpResponse answer = books ? Book(aRequest) : LookUp(aRequest);
  FreeSlot();
  if (books && faults.DiesAfterRunning()) {
    ::_exit(kDeathExitCode);
  }
  co_return answer;
}

Awaitable<void>
ServiceStandIn::TakeSlot()
{
  if (m_running < m_options.m_slots) {
    ++m_running;
    RecordLoad();
    co_return;
  }
  asio::steady_timer turn(m_context, asio::steady_timer::time_point::max());
  m_waiting.push_back(&turn);
  RecordLoad();
  co_await turn.async_wait(kUse); // FreeSlot hands its slot over
}

void
ServiceStandIn::FreeSlot()
{
  if (m_waiting.empty()) {
    --m_running;
  } else {
    m_waiting.front()->cancel();
    m_waiting.pop_front();
  }
  RecordLoad();
}

HttpResponse
ServiceStandIn::Book(const HttpRequest& aRequest)
{
  const std::string key(aRequest["Idempotency-Key"]);
  ++m_bookings[{ key, std::string(aRequest.target()), aRequest.body() }];
  boost::json::object answer;
  answer["booked"] = true;
  answer["number"] = m_nextNumber++;
  answer["key"] = key;
  return JsonAnswer(200, boost::json::serialize(answer));
}

HttpResponse
ServiceStandIn::LookUp(const HttpRequest& aRequest) const
{
  boost::json::object answer;
  answer["path"] = aRequest.target();
  answer["status"] = "known";
  return JsonAnswer(200, boost::json::serialize(answer));
}

std::string
ServiceStandIn::Audit() const
{
  boost::json::array rows;
  for (const auto& [booking, times] : m_bookings) {
    boost::json::object row;
    row["key"] = booking.m_key;
    row["path"] = booking.m_path;
    row["body"] = booking.m_body;
    row["times"] = times;
    rows.push_back(std::move(row));
  }
  return boost::json::serialize(rows);
}

boost::json::object
ServiceStandIn::Describe()
{
  const SocketAddress address = m_server.LocalAddress();
  boost::json::object body;
  body["kind"] = "plain_service";
  body["address"] = address.m_address;
  body["port"] = address.m_port;
  body["zone"] = m_options.m_zone;
  body["service"] = m_options.m_service;
  body["slots"] = m_options.m_slots;
  return body;
}

boost::json::object
ServiceStandIn::TakeEvents()
{
  const Load load = m_load.Report(std::chrono::steady_clock::now());
  boost::json::object text;
  text["queued"] = load.m_queued;
  text["running"] = load.m_running;
  boost::json::object events;
  events["load"] = std::move(text);
  return events;
}

void
ServiceStandIn::RecordLoad()
{
  m_load.Record(std::chrono::steady_clock::now(),
                { static_cast<std::uint32_t>(m_waiting.size()), m_running });
}

} // namespace parsleycove::fakes
