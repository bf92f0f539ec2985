// Keeps an endpoint announced to the gateways.
#include "Fakes/Announcer.h"

#include <cstdio>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "Fakes/HttpClient.h"

namespace parsleycove::fakes {

namespace {

namespace asio = boost::asio;

constexpr auto kUse = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kCallTimeout(1000);
constexpr std::chrono::milliseconds kRetryInterval(100);
constexpr int kLeaveTries = 20;
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;

std::uint64_t
UnixMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

Awaitable<void>
Pause(std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(kUse);
}

// Keeps the present value when the answer names none.
std::chrono::milliseconds
ReadRenewWithin(const std::string& aBody, std::chrono::milliseconds aPresent)
{
  boost::json::error_code error;
  const boost::json::value body = boost::json::parse(aBody, error);
  if (error || !body.is_object()) {
    return aPresent;
  }
  const auto* within = body.as_object().if_contains("renew_within_ms");
  if (within == nullptr || !within->is_int64()) {
    return aPresent;
  }
  return std::chrono::milliseconds(within->as_int64());
}

} // namespace

Announcer::Announcer(asio::io_context& aContext,
                     std::vector<SocketAddress> aGateways,
                     std::string aId,
                     AnnouncedEndpoint& aEndpoint,
                     const Faults& aFaults)
  : m_context(aContext)
  , m_gateways(std::move(aGateways))
  , m_id(std::move(aId))
  , m_incarnation(UnixMs())
  , m_endpoint(aEndpoint)
  , m_faults(aFaults)
{
}

void
Announcer::Start(std::chrono::milliseconds aEventsInterval)
{
  if (m_gateways.empty()) {
    return;
  }
  asio::co_spawn(m_context, Renew(), asio::detached);
  if (aEventsInterval.count() > 0) {
    asio::co_spawn(m_context, ReportEvents(aEventsInterval), asio::detached);
  }
}

Awaitable<void>
Announcer::Renew()
{
  while (!m_leaving) {
    if (m_faults.StopsRenewing()) {
      co_await Pause(kRetryInterval);
      continue;
    }
    const bool renews = m_announced;
    std::string target = "/v1/endpoints/renew";
    boost::json::object body;
    if (!renews) {
      target = "/v1/endpoints/announce";
      body = m_endpoint.Describe();
      m_announced = true; // unless AnnounceAgain comes during the call
    }
    const auto status = co_await Call(target, std::move(body));
    if (status == kOk) {
      co_await Pause(m_announced ? m_renewWithin / 3 : kRetryInterval);
      continue;
    }
    if (!renews || status == kNotFound) {
      m_announced = false;
    }
    co_await Pause(kRetryInterval);
  }
}

Awaitable<void>
Announcer::ReportEvents(std::chrono::milliseconds aInterval)
{
  while (!m_leaving) {
    co_await Pause(aInterval);
    if (m_announced && !m_faults.StopsRenewing()) {
      co_await Call("/v1/endpoints/events", m_endpoint.TakeEvents());
    }
  }
}

Awaitable<void>
Announcer::Leave()
{
  m_leaving = true;
  if (m_gateways.empty()) {
    co_return;
  }
  for (int i = 0; i < kLeaveTries; ++i) {
    if (co_await Call("/v1/endpoints/leave", {}) == kOk) {
      co_return;
    }
    co_await Pause(kRetryInterval);
  }
}

Awaitable<std::optional<unsigned>>
Announcer::Call(std::string aTarget, boost::json::object aBody)
{
  aBody["id"] = m_id;
  aBody["incarnation"] = m_incarnation;
  const std::string text = boost::json::serialize(aBody);
  for (std::size_t i = 0; i < m_gateways.size(); ++i) {
    const SocketAddress gateway = m_gateways[m_next++ % m_gateways.size()];
    const auto answer = co_await PostJson(gateway, aTarget, text, kCallTimeout);
    if (answer && answer->result_int() < 500) {
      m_renewWithin = ReadRenewWithin(answer->body(), m_renewWithin);
      if (answer->result_int() >= 400 && answer->result_int() != kNotFound) {
        std::fprintf(
          stderr, "%s refused: %s\n", aTarget.c_str(), answer->body().c_str());
      }
      co_return answer->result_int();
    }
  }
  co_return std::nullopt;
}

} // namespace parsleycove::fakes
