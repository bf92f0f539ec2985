// The operator of a soak.
#include "Soak/SoakOperator.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace parsleycove {

namespace {

constexpr std::chrono::milliseconds kCallTimeoutMs{ 1000 };
constexpr std::chrono::milliseconds kAgainMs{ 100 };
// Bounds of the users' platform: an accepted version is in force after 2 s,
// a key that was taken away works for 5 s at most.
constexpr std::chrono::seconds kInForceS{ 2 };
constexpr std::chrono::seconds kRevokedS{ 5 };
constexpr unsigned kHttp11 = 11;

constexpr char kDocument[] = R"({"routes":[
{"name":"safe","host":"one.example","path-prefix":"/safe/","kind":"safe",
 "timeout-ms":1500,"target-latency-ms":100,"service":"plain","max-attempts":2},
{"name":"unsafe","host":"one.example","path-prefix":"/unsafe/","kind":"unsafe",
 "timeout-ms":1500,"target-latency-ms":100,"service":"plain","max-attempts":2},
{"name":"stream","host":"one.example","path-prefix":"/stream/",
 "kind":"streaming","resumable":true,"timeout-ms":8000,
 "target-latency-ms":500,"service":"model","max-attempts":2}],
"services":[{"name":"plain","health-path":"/health"},{"name":"model","engine":{"layers":4,
 "layer-mb":100,"kv-token-bytes":1000,"step_ms":1,"read_per_s":100000,
 "kinds":[{"name":"card","mb":260,"pace":1,"read-x":1}]}}],
"limits":{"max-header-bytes":4096,"max-body-bytes":65536},)";

} // namespace

SoakOperator::SoakOperator(boost::asio::io_context& aContext,
                           SoakLedger& aLedger,
                           std::vector<SocketAddress> aControls)
  : m_context(aContext)
  , m_ledger(aLedger)
  , m_controls(std::move(aControls))
  , m_client(aContext.get_executor())
{
}

void
SoakOperator::Change(bool aHasSecondKey)
{
  boost::asio::co_spawn(
    m_context, Send(++m_sent, aHasSecondKey), boost::asio::detached);
}

boost::asio::awaitable<void>
SoakOperator::Send(std::uint64_t aVersion, bool aHasSecondKey)
{
  // It may be in force from here on.
  if (aHasSecondKey) {
    m_withSecondKey = std::max(m_withSecondKey, aVersion);
    m_ledger.SetKey("k2", "account-2");
  }
  const std::string tenants =
    std::string(R"("tenants":[{"name":"account-1","api-keys":["k1"]})") +
    (aHasSecondKey ? R"(,{"name":"account-2","api-keys":["k2"]}],)" : "],");
  const std::string body =
    kDocument + tenants + "\"version\":" + std::to_string(aVersion) + "}";
  boost::asio::steady_timer timer(m_context);
  for (std::size_t turn = aVersion; m_accepted < aVersion; ++turn) {
    const SocketAddress& control = m_controls[turn % m_controls.size()];
    HttpRequest request(http::verb::put, "/parsleycove/config", kHttp11);
    request.set(http::field::host, control.ToString());
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    const CallResult result = co_await m_client.Call(
      control, request, kCallTimeoutMs, ConnectionChoice::New);
    if (result.m_response && result.m_response->result_int() == 200) {
      break;
    }
    if (result.m_response && result.m_response->result_int() < 500) {
      m_ledger.Breach(
        "version " + std::to_string(aVersion) +
        " is valid and was refused: " + result.m_response->body());
      co_return;
    }
    timer.expires_after(kAgainMs);
    co_await timer.async_wait(
      boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  const TimePoint now = BootClock::now();
  m_accepted = std::max(m_accepted, aVersion);
  m_acknowledgements.emplace_back(now, m_accepted);
  if (!aHasSecondKey && m_withSecondKey < aVersion) {
    m_ledger.RevokeKey("k2", now + kRevokedS);
  }
}

std::uint64_t
SoakOperator::AcceptedBefore(TimePoint aBefore) const
{
  std::uint64_t version = 0;
  for (const auto& [at, accepted] : m_acknowledgements) {
    if (at <= aBefore) {
      version = std::max(version, accepted);
    }
  }
  return version;
}

void
SoakOperator::ReadAll(const std::function<void(std::uint64_t)>& aOnVersion)
{
  for (const SocketAddress& control : m_controls) {
    boost::asio::co_spawn(
      m_context, Read(control, aOnVersion), boost::asio::detached);
  }
}

boost::asio::awaitable<void>
SoakOperator::Read(SocketAddress aControl,
                   std::function<void(std::uint64_t)> aOnVersion)
{
  const std::uint64_t least = AcceptedBefore(BootClock::now() - kInForceS);
  HttpRequest request(http::verb::get, "/parsleycove/config", kHttp11);
  request.set(http::field::host, aControl.ToString());
  const CallResult result = co_await m_client.Call(
    aControl, request, kCallTimeoutMs, ConnectionChoice::New);
  if (!result.m_response || result.m_response->result_int() != 200) {
    co_return;
  }
  const boost::json::value body = boost::json::parse(result.m_response->body());
  const auto version =
    body.as_object().at("version").to_number<std::uint64_t>();
  if (version < least) {
    m_ledger.Breach(aControl.ToString() + " showed version " +
                    std::to_string(version) + " after " +
                    std::to_string(least) + " was accepted");
  }
  if (aOnVersion) {
    aOnVersion(version);
  }
}

} // namespace parsleycove
