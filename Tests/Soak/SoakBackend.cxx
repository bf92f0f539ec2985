// A back end of the soak, with its proxy.
#include "Soak/SoakBackend.h"

#include <algorithm>
#include <limits>
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
constexpr std::chrono::milliseconds kSilenceCheckMs{ 20 };
constexpr std::chrono::milliseconds kPlainTimeMs{ 15 };
// Gaps between the events of a stream are drawn in this range.
constexpr int kLeastGapMs = 10;
constexpr std::uint64_t kGapSpreadMs = 60;
constexpr unsigned kHttp11 = 11;
// Time for which a crashed engine is away.
constexpr std::chrono::milliseconds kCrashMs{ 2000 };
// One of so many answers ends with its connection, and one of so many streams
// of these ends within an event.
constexpr std::uint64_t kUnframedShare = 4;
constexpr std::uint64_t kCutShare = 8;

std::string
MakeJsonAnswer(int aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Any\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// Head of an answer that ends with its connection.
std::string
MakeUnframedHead(const std::string& aAttempt, const char* aType)
{
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + aAttempt +
         "\r\nResponse-Signature: s1\r\nContent-Type: " + aType + "\r\n\r\n";
}

std::string
MakeUnframedEvent(int aId)
{
  const std::string number = std::to_string(aId);
  return "id: " + number + "\ndata: x" + number + "\n\n";
}

// Addresses of a path such as "127.0.0.1:80=0-2,127.0.0.1:81=2-4".
std::vector<std::string>
AddressesOf(const std::string& aPath)
{
  std::vector<std::string> addresses;
  std::istringstream parts(aPath);
  for (std::string part; std::getline(parts, part, ',');) {
    addresses.push_back(part.substr(0, part.find('=')));
  }
  return addresses;
}

} // namespace

SoakBackend::SoakBackend(boost::asio::io_context& aContext,
                         SoakLedger& aLedger,
                         std::string aId,
                         bool aIsEngine,
                         std::uint64_t aSeed)
  : m_context(aContext)
  , m_ledger(aLedger)
  , m_id(std::move(aId))
  , m_isEngine(aIsEngine)
  , m_stub(aContext)
  , m_proxy(aContext, { "127.0.0.1", m_stub.Port() })
  , m_client(aContext.get_executor())
  , m_random(aSeed)
{
  m_stub.SetScript(
    [this](const HttpRequest& aRequest) { return Answer(aRequest); });
}

void
SoakBackend::FallSilent(Duration aLength)
{
  const TimePoint now = BootClock::now();
  m_proxy.HoldUntil(now + aLength);
  m_ledger.Silences().Note(Address(), now, now + aLength);
}

void
SoakBackend::RefuseWork(Duration aLength)
{
  m_refusesUntil = std::max(m_refusesUntil, BootClock::now() + aLength);
}

void
SoakBackend::SendEndlessly(std::string aHead, std::string aBytes, int aLeast)
{
  m_leastEndless = aLeast;
  m_endlessHead = std::move(aHead);
  m_endlessBytes = std::move(aBytes);
  m_stub.SetMaxFloodBytes(std::numeric_limits<std::size_t>::max());
}

void
SoakBackend::NameLimit(double aPerSecond, Duration aLength)
{
  const TimePoint now = BootClock::now();
  m_limit = aPerSecond;
  m_limitUntil = now + aLength;
  m_ledger.Limits().NoteLimit(m_id, aPerSecond, now, m_limitUntil);
}

std::string
SoakBackend::WithLimit(std::string aHead) const
{
  if (BootClock::now() < m_limitUntil) {
    aHead.insert(aHead.find("\r\n") + 2,
                 "Server-Limit: " + std::to_string(m_limit) + "\r\n");
  }
  return aHead;
}

void
SoakBackend::NoteRun(const HttpRequest& aRequest)
{
  std::vector<std::string> path =
    AddressesOf(std::string(aRequest["Hop-Count"]));
  path.push_back(Address());
  m_ledger.NoteRun(std::string(aRequest["Attempt-Id"]),
                   std::string(aRequest["Tenant"]),
                   m_id,
                   path,
                   BootClock::now());
}

std::vector<StubStep>
SoakBackend::Answer(const HttpRequest& aRequest)
{
  if (aRequest.target() == "/health") {
    return { Send(MakeJsonAnswer(200, "{}")) };
  }
  if (aRequest.target() == "/parsleycove/report") {
    return { Send(MakeJsonAnswer(
      200, R"({"pace":1.0,"born":)" + std::to_string(m_born) + "}")) };
  }
  if (aRequest.target() == "/parsleycove/order") {
    return AnswerOrder(aRequest);
  }
  const std::string attempt(aRequest["Attempt-Id"]);
  m_ledger.NoteReached(attempt, m_id, BootClock::now());
  if (aRequest["Expect-Instance"] != m_id) {
    return { Send(MakeAnswer(attempt, 421, "", "Not-Executed: 1\r\n")) };
  }
  if (BootClock::now() < m_refusesUntil) {
    m_ledger.NoteStep(attempt, m_id + " refuses", BootClock::now());
    return { Send(
      WithLimit(MakeAnswer(attempt, 503, "", "Not-Executed: 1\r\n"))) };
  }
  return m_isEngine ? AnswerStream(aRequest) : AnswerPlain(aRequest);
}

std::vector<StubStep>
SoakBackend::AnswerPlain(const HttpRequest& aRequest)
{
  const std::string attempt(aRequest["Attempt-Id"]);
  NoteRun(aRequest);
  m_ledger.NoteStep(attempt, m_id + " runs it", BootClock::now());
  if (aRequest.target().ends_with(kSoakCrash)) {
    m_ledger.NoteRequestCrash(BootClock::now());
    Crash();
    return { Hang() };
  }
  if (!m_endlessBytes.empty()) {
    ++m_endlessAnswers;
    return { Send("HTTP/1.1 200 OK\r\nResponse-Signature: s1\r\nAttempt-Id: " +
                  attempt + "\r\n" + m_endlessHead),
             Await([this] { return m_endlessAnswers >= m_leastEndless; }),
             Flood(m_endlessBytes) };
  }
  if (m_random.Below(kUnframedShare) == 0) {
    const std::size_t half = m_random.Below(attempt.size() + 1);
    return { Send(WithLimit(MakeUnframedHead(attempt, "text/plain")) +
                  attempt.substr(0, half)),
             Pause(kPlainTimeMs),
             Send(attempt.substr(half)),
             CloseNow() };
  }
  return { Pause(kPlainTimeMs),
           Send(WithLimit(MakeAnswer(attempt, 200, attempt))) };
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
  if (aRequest[kSoakPartsHeader].find(kSoakCrashingPart) !=
      std::string_view::npos) {
    m_ledger.NotePartCrash(BootClock::now());
    Crash();
    return { Hang() };
  }
  if (aRequest.target().ends_with(kSoakCrash)) {
    m_ledger.NoteRequestCrash(BootClock::now());
    Crash();
    return { Hang() };
  }
  const std::string last(aRequest["Last-Event-Id"]);
  const int first = last.empty() ? 1 : std::stoi(last) + 1;
  const auto gap = std::chrono::milliseconds(
    kLeastGapMs + static_cast<int>(m_random.Below(kGapSpreadMs)));
  const bool isUnframed = m_random.Below(kUnframedShare) == 0;
  const bool isCut = isUnframed && m_random.Below(kCutShare) == 0;
  const int cutAt = first + static_cast<int>(m_random.Below(kSoakEvents));
  std::vector<StubStep> steps{ Send(
    WithLimit(isUnframed ? MakeUnframedHead(attempt, "text/event-stream")
                         : MakeStreamHead(attempt))) };
  for (int id = first; id <= kSoakEvents; ++id) {
    steps.push_back(Pause(gap));
    const std::string event =
      isUnframed ? MakeUnframedEvent(id) : MakeEvent(id);
    if (isCut && id == cutAt) {
      m_ledger.Excuse(attempt);
      steps.push_back(
        Send(event.substr(0, 1 + m_random.Below(event.size() - 1))));
      break;
    }
    steps.push_back(Send(event));
  }
  m_ledger.NoteStep(
    attempt,
    m_id + (isUnframed ? " begins without length" : " begins in chunks") +
      " after event " + std::to_string(first - 1),
    BootClock::now());
  m_streams.insert(attempt);
  steps.push_back(Await([this, attempt] {
    m_streams.erase(attempt);
    m_ledger.NoteStep(attempt, m_id + " ends", BootClock::now());
    return true;
  }));
  steps.push_back(isUnframed ? CloseNow() : Send(MakeStreamEnd()));
  return steps;
}

void
SoakBackend::Crash()
{
  const TimePoint now = BootClock::now();
  m_ledger.Harms().Note(Address(), now, now + kCrashMs);
  NoteStreamsCut("crashes", now);
  m_first = 0;
  m_end = 0;
  m_sequence = 0;
  ++m_born;
  m_proxy.GoDown();
  boost::asio::co_spawn(m_context, ComeBack(), boost::asio::detached);
}

boost::asio::awaitable<void>
SoakBackend::ComeBack()
{
  boost::asio::steady_timer timer(m_context, kCrashMs);
  do {
    co_await timer.async_wait(
      boost::asio::as_tuple(boost::asio::use_awaitable));
    timer.expires_after(kSilenceCheckMs);
  } while (!m_proxy.ComeUp());
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
  return next == kSoakLayers && aPath.starts_with(Address() + "=");
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
    { "address", Address() },
    { "zone", "zone-a" },
    { "version", "v1" },
    { "slots", 64 },
    { "state", IsLeaving() ? "draining" : "ready" },
    { "cold-remaining-ms", 0 },
    { "born", m_born },
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
    if (m_proxy.IsDown() || BootClock::now() < m_proxy.HeldUntil()) {
      timer.expires_after(kSilenceCheckMs);
      co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
      continue;
    }
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
SoakBackend::NoteStreamsCut(const std::string& aHow, TimePoint aNow)
{
  for (const std::string& attempt : m_streams) {
    m_ledger.NoteStep(attempt, m_id + " " + aHow, aNow);
  }
  m_streams.clear();
}

void
SoakBackend::Stop()
{
  NoteStreamsCut("stops", BootClock::now());
  m_isStopped = true;
  // An answer without a length that ended in order would be complete.
  m_proxy.ResetAll();
  m_stub.Stop();
}

} // namespace parsleycove
