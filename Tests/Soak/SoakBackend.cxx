// A back end of the soak, with its proxy.
#include "Soak/SoakBackend.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace parsleycove {

namespace {

constexpr std::chrono::milliseconds kHeartbeatMs{ 400 };
constexpr std::chrono::milliseconds kHeartbeatTimeoutMs{ 1000 };
constexpr std::chrono::milliseconds kEventGapMs{ 15 };
constexpr unsigned kHttp11 = 11;

std::string
MakeJsonAnswer(int aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Any\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

SoakBackend::SoakBackend(boost::asio::io_context& aContext,
                         SoakLedger& aLedger,
                         std::string aId,
                         bool aIsEngine)
  : m_context(aContext)
  , m_ledger(aLedger)
  , m_id(std::move(aId))
  , m_isEngine(aIsEngine)
  , m_stub(aContext)
  , m_proxy(aContext, { "127.0.0.1", m_stub.Port() })
  , m_client(aContext.get_executor())
{
  m_stub.SetScript(
    [this](const HttpRequest& aRequest) { return Answer(aRequest); });
}

void
SoakBackend::NoteRun(const HttpRequest& aRequest)
{
  m_ledger.NoteRun(std::string(aRequest["Attempt-Id"]),
                   std::string(aRequest["Tenant"]),
                   m_id,
                   BootClock::now());
}

std::vector<StubStep>
SoakBackend::Answer(const HttpRequest& aRequest)
{
  if (aRequest.target() == "/parsleycove/report") {
    return { Send(MakeJsonAnswer(200, R"({"pace":1.0,"born":1})")) };
  }
  if (aRequest.target() == "/parsleycove/order") {
    return AnswerOrder(aRequest);
  }
  const std::string attempt(aRequest["Attempt-Id"]);
  if (aRequest["Expect-Instance"] != m_id) {
    return { Send(MakeAnswer(attempt, 421, "", "Not-Executed: 1\r\n")) };
  }
  if (m_isEngine) {
    return AnswerStream(aRequest);
  }
  NoteRun(aRequest);
  return { Pause(kEventGapMs), Send(MakeAnswer(attempt, 200, attempt)) };
}

std::vector<StubStep>
SoakBackend::AnswerStream(const HttpRequest& aRequest)
{
  const std::string attempt(aRequest["Attempt-Id"]);
  if (!RunsEveryLayer(std::string(aRequest["Hop-Count"]))) {
    m_ledger.Breach(attempt +
                    " was sent along a path without every layer once");
  }
  NoteRun(aRequest);
  const std::string last(aRequest["Last-Event-Id"]);
  std::vector<StubStep> steps{ Send(MakeStreamHead(attempt)) };
  for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= kSoakEvents;
       ++id) {
    steps.push_back(Pause(kEventGapMs));
    steps.push_back(Send(MakeEvent(id)));
  }
  steps.push_back(Send(MakeStreamEnd()));
  return steps;
}

bool
SoakBackend::RunsEveryLayer(const std::string& aPath) const
{
  std::istringstream parts(aPath);
  std::string part;
  int next = 0;
  while (std::getline(parts, part, ',')) {
    int first = 0;
    int end = 0;
    const auto equals = part.find('=');
    if (equals == std::string::npos ||
        std::sscanf(part.c_str() + equals, "=%d-%d", &first, &end) != 2 ||
        first != next) {
      return false;
    }
    next = end;
  }
  return next == kSoakLayers &&
         aPath.starts_with(m_proxy.Address().ToString() + "=");
}

std::vector<StubStep>
SoakBackend::AnswerOrder(const HttpRequest& aRequest)
{
  const boost::json::value body = boost::json::parse(aRequest.body());
  const boost::json::object& order = body.as_object();
  if (order.at("operation") == "place") {
    m_first = order.at("from").to_number<int>();
    m_end = order.at("target").to_number<int>();
  }
  return { Send(MakeJsonAnswer(202, "{}")) };
}

std::string
SoakBackend::MakeReport()
{
  boost::json::object report{
    { "service", m_isEngine ? "model" : "plain" },
    { "address", m_proxy.Address().ToString() },
    { "zone", "zone-a" },
    { "version", "v1" },
    { "slots", 64 },
    { "state", IsLeaving() ? "draining" : "ready" },
    { "cold-remaining-ms", 0 },
    { "born", 1 },
    { "sequence", ++m_sequence },
  };
  if (m_isEngine) {
    report["stage"] = "both";
    report["kind"] = "card";
    report["models"] = boost::json::array{};
    if (m_end > m_first) {
      report["layers"] =
        boost::json::object{ { "from", m_first }, { "target", m_end } };
    }
  }
  return boost::json::serialize(report);
}

void
SoakBackend::Announce(std::vector<SocketAddress> aControls)
{
  m_controls = std::move(aControls);
  boost::asio::co_spawn(m_context, KeepAnnouncing(), boost::asio::detached);
}

boost::asio::awaitable<void>
SoakBackend::KeepAnnouncing()
{
  boost::asio::steady_timer timer(m_context);
  while (!m_isStopped) {
    const SocketAddress& control = m_controls[m_turn % m_controls.size()];
    HttpRequest request(
      http::verb::put, "/parsleycove/instances/" + m_id, kHttp11);
    request.set(http::field::host, control.ToString());
    request.set(http::field::content_type, "application/json");
    const bool wasLeaving = IsLeaving();
    request.body() = MakeReport();
    request.prepare_payload();
    const CallResult result = co_await m_client.Call(
      control, request, kHeartbeatTimeoutMs, ConnectionChoice::New);
    const bool isTaken =
      result.m_response && result.m_response->result_int() == 200;
    if (!isTaken) {
      ++m_turn;
    } else if (wasLeaving) {
      m_onLeaving();
      co_return;
    }
    timer.expires_after(isTaken ? kHeartbeatMs : kHeartbeatMs / 4);
    co_await timer.async_wait(
      boost::asio::as_tuple(boost::asio::use_awaitable));
  }
}

void
SoakBackend::Leave(std::function<void()> aOnLeaving)
{
  m_onLeaving = std::move(aOnLeaving);
}

void
SoakBackend::Stop()
{
  m_isStopped = true;
  m_stub.Stop();
}

} // namespace parsleycove
