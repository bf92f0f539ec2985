// A model engine stand-in: the engine protocol over HTTP.
#include "Fakes/EngineStandIn.h"

#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

namespace parsleycove::fakes {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto kUse = asio::as_tuple(asio::use_awaitable);
constexpr double kDrainCheckMs = 20;
constexpr std::chrono::seconds kDrainQuietTime(5);
constexpr int kHashDigits = 16;

// Writes prefix hashes as 16 hex digits each.
boost::json::array
WriteHashes(const std::vector<std::uint64_t>& aHashes)
{
  boost::json::array texts;
  for (const std::uint64_t hash : aHashes) {
    std::array<char, kHashDigits> digits{};
    const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), hash, 16).ptr;
    std::string text(digits.data(), end);
    text.insert(0, kHashDigits - text.size(), '0');
    texts.emplace_back(text);
  }
  return texts;
}

} // namespace

EngineStandIn::EngineStandIn(asio::io_context& aContext,
                             const EngineOptions& aOptions)
  : m_context(aContext)
  , m_options(aOptions)
  , m_core(aOptions)
  , m_rounds(aContext, aOptions, m_core)
  , m_server(aContext, *this)
  , m_announcer(aContext,
                aOptions.m_gateways,
                aOptions.m_id,
                *this,
                m_server.Switches())
{
}

void
EngineStandIn::Start()
{
  m_server.Listen(m_options.m_listen);
  m_rounds.Start();
  std::printf("ready %s\n", m_server.LocalAddress().ToString().c_str());
  std::fflush(stdout);
  m_announcer.Start(std::chrono::milliseconds(m_options.m_eventsMs));
}

Awaitable<void>
EngineStandIn::Drain()
{
  m_core.Leave();
  co_await m_announcer.Leave();
  const auto quiet = [this] {
    const auto since = std::chrono::steady_clock::now() - m_rounds.LastRun();
    return !m_core.HasStreams() || since > kDrainQuietTime;
  };
  while (!m_rounds.Idle() || !quiet()) {
    co_await Pause(kDrainCheckMs);
  }
  m_context.stop();
}

Awaitable<void>
EngineStandIn::Pause(double aMilliseconds)
{
  asio::steady_timer timer(m_context);
  const std::chrono::duration<double, std::milli> time(aMilliseconds);
  timer.expires_after(
    std::chrono::duration_cast<std::chrono::nanoseconds>(time));
  co_await timer.async_wait(kUse);
}

bool
EngineStandIn::IsWork(const HttpRequest& aRequest) const
{
  return aRequest.target() == "/engine/steps";
}

Awaitable<HttpResponse>
EngineStandIn::Handle(const HttpRequest& aRequest, Fate aFate)
{
  const std::string target(aRequest.target());
  if (aRequest.method() == http::verb::get && target == "/engine/state") {
    co_return State();
  }
  if (aRequest.method() != http::verb::post) {
    co_return JsonAnswer(404, R"({"error":"no such path"})");
  }
  const boost::json::value parsed = boost::json::parse(aRequest.body());
  const boost::json::object& body = parsed.as_object();
  if (target == "/engine/steps") {
    co_return co_await RunSteps(body, aFate);
  }
  if (target == "/engine/tokenize") {
    co_return TokenizeText(body);
  }
  if (target == "/engine/cancel") {
    co_return CancelStream(body);
  }
  if (target == "/engine/kv/export") {
    co_return ExportCache(body);
  }
  if (target == "/engine/kv/import") {
    co_return ImportCache(body);
  }
  if (target == "/engine/orders") {
    co_return co_await CarryOut(body);
  }
  co_return JsonAnswer(404, R"({"error":"no such path"})");
}

Awaitable<HttpResponse>
EngineStandIn::RunSteps(const boost::json::object& aBody, Fate aFate)
{
  std::vector<Step> steps;
  for (const boost::json::value& one : aBody.at("steps").as_array()) {
    steps.push_back(ReadStep(one.as_object()));
  }
  if (m_options.m_linkDelayMs > 0) {
    co_await Pause(m_options.m_linkDelayMs);
  }
  const std::vector<StepResult> results =
    co_await m_rounds.RunAll(std::move(steps));
  if (m_options.m_linkDelayMs > 0) {
    co_await Pause(m_options.m_linkDelayMs);
  }
  boost::json::array list;
  for (const StepResult& result : results) {
    list.push_back(WriteResult(result));
    if (aFate == Fate::Duplicate) {
      list.push_back(WriteResult(result));
    }
  }
  boost::json::object answer;
  answer["results"] = std::move(list);
  answer["load"] = DescribeLoad();
  co_return JsonAnswer(200, boost::json::serialize(answer));
}

HttpResponse
EngineStandIn::TokenizeText(const boost::json::object& aBody) const
{
  const auto text = boost::json::value_to<std::string>(aBody.at("text"));
  boost::json::object answer;
  answer["tokens"] = boost::json::value_from(toy::Tokenize(text));
  return JsonAnswer(200, boost::json::serialize(answer));
}

HttpResponse
EngineStandIn::CancelStream(const boost::json::object& aBody)
{
  m_core.Cancel(ReadStreamAttempt(aBody));
  return JsonAnswer(200, "{}");
}

HttpResponse
EngineStandIn::ExportCache(const boost::json::object& aBody) const
{
  const auto cache = m_core.Export(ReadStreamAttempt(aBody));
  if (!cache) {
    return JsonAnswer(404, R"({"error":"no such stream"})");
  }
  boost::json::object answer;
  answer["position"] = cache->m_position;
  answer["state"] = cache->m_state;
  return JsonAnswer(200, boost::json::serialize(answer));
}

HttpResponse
EngineStandIn::ImportCache(const boost::json::object& aBody)
{
  ExportedCache cache;
  cache.m_position = aBody.at("position").to_number<std::uint64_t>();
  cache.m_state = boost::json::value_to<std::string>(aBody.at("state"));
  if (!m_core.Import(ReadStreamAttempt(aBody), cache)) {
    return JsonAnswer(409, R"({"error":"not importable"})");
  }
  return JsonAnswer(200, "{}");
}

Awaitable<HttpResponse>
EngineStandIn::CarryOut(const boost::json::object& aBody)
{
  const EngineOrder order = ReadOrder(aBody);
  if (m_server.Switches().RefusesOrders()) {
    co_return JsonAnswer(409, R"({"error":"stale_fencing"})");
  }
  if (m_options.m_orderMs > 0) {
    co_await Pause(m_options.m_orderMs);
  }
  if (!m_core.TakeOrder(order)) {
    co_return JsonAnswer(409, R"({"error":"stale_fencing"})");
  }
  m_announcer.AnnounceAgain();
  co_return JsonAnswer(200, "{}");
}

HttpResponse
EngineStandIn::State()
{
  boost::json::object state;
  state["id"] = m_options.m_id;
  state["incarnation"] = m_announcer.Incarnation();
  m_core.Describe(state);
  state["term"] = m_core.LastOrder().m_term;
  state["sequence"] = m_core.LastOrder().m_sequence;
  const Load load = m_rounds.ReportLoad();
  state["queued"] = load.m_queued;
  state["running"] = load.m_running;
  return JsonAnswer(200, boost::json::serialize(state));
}

boost::json::object
EngineStandIn::DescribeLoad()
{
  const Load load = m_rounds.ReportLoad();
  boost::json::object text;
  text["queued"] = load.m_queued;
  text["running"] = load.m_running;
  return text;
}

std::string
EngineStandIn::Audit() const
{
  return boost::json::serialize(m_core.Audit());
}

boost::json::object
EngineStandIn::Describe()
{
  const SocketAddress address = m_server.LocalAddress();
  boost::json::object body;
  body["kind"] = "engine";
  body["address"] = address.m_address;
  body["port"] = address.m_port;
  body["zone"] = m_options.m_zone;
  m_core.Describe(body);
  body.erase("role"); // not part of an announcement
  body["accelerator"] = m_options.m_accelerator;
  body["tokens_per_second"] =
    static_cast<std::uint64_t>(m_options.m_tokensPerSecond);
  body["slots"] = m_options.m_slots;
  body["checks_fencing"] = m_options.m_checksFencing;
  return body;
}

boost::json::object
EngineStandIn::TakeEvents()
{
  boost::json::object events;
  events["load"] = DescribeLoad();
  events["cached"] = WriteHashes(m_core.Prefixes().TakeCached());
  events["evicted"] = WriteHashes(m_core.Prefixes().TakeEvicted());
  return events;
}

} // namespace parsleycove::fakes
