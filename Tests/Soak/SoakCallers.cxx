// Callers of the entry VMs.
#include "Soak/SoakCallers.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Soak/SoakBackend.h"

namespace parsleycove {

namespace {

constexpr std::chrono::milliseconds kPlainPatienceMs{ 1500 };
constexpr std::chrono::milliseconds kStreamPatienceMs{ 8000 };
constexpr unsigned kHttp11 = 11;

bool
IsPromise(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

} // namespace

SoakCallers::SoakCallers(boost::asio::io_context& aContext,
                         SoakLedger& aLedger,
                         std::vector<SocketAddress> aEntries,
                         std::uint64_t aSeed)
  : m_context(aContext)
  , m_ledger(aLedger)
  , m_entries(std::move(aEntries))
  , m_client(aContext.get_executor())
  , m_random(aSeed)
{
}

void
SoakCallers::Ask()
{
  const auto kind = static_cast<AttemptKind>(m_random.Below(3));
  const std::string key = m_random.Below(4) == 0 ? "k2" : "k1";
  const SocketAddress& entry = m_entries[m_random.Below(m_entries.size())];
  ++m_open;
  boost::asio::co_spawn(
    m_context,
    Exchange("a" + std::to_string(++m_count), kind, key, entry),
    [this](const std::exception_ptr& aFault) {
      --m_open;
      if (aFault) {
        m_ledger.Breach("a caller failed by itself");
      }
    });
}

boost::asio::awaitable<void>
SoakCallers::Exchange(std::string aAttempt,
                      AttemptKind aKind,
                      std::string aKey,
                      SocketAddress aEntry)
{
  const bool isStream = aKind == AttemptKind::Stream;
  const auto patience = isStream ? kStreamPatienceMs : kPlainPatienceMs;
  const std::string path = isStream                     ? "/stream/x"
                           : aKind == AttemptKind::Safe ? "/safe/x"
                                                        : "/unsafe/x";
  HttpRequest request(http::verb::post, path, kHttp11);
  request.set(http::field::host, "one.example");
  request.set("Attempt-Id", aAttempt);
  request.set("Deadline-Ms", std::to_string(patience.count()));
  request.set("Authorization", "Bearer " + aKey);
  if (isStream) {
    request.set("Model", "m");
    request.set("Token-Usage", "100,24");
    request.set("Prompt-Prefix", "1:100");
  }
  request.body() = "body of " + aAttempt;
  request.prepare_payload();
  m_ledger.NoteSent(aAttempt, aKind, aKey, BootClock::now());
  const CallResult result = co_await m_client.Call(
    aEntry, std::move(request), patience, ConnectionChoice::Reuse);
  if (!result.m_response) {
    m_ledger.NoteUnserved();
    co_return;
  }
  const unsigned status = result.m_response->result_int();
  if (status == 200) {
    CheckSuccess(aAttempt, aKind, *result.m_response);
    m_ledger.NoteServed();
  } else if (IsPromise(status)) {
    m_ledger.NoteRefused(aAttempt);
  } else {
    m_ledger.NoteUnserved();
    if (status == 404) {
      m_ledger.Breach(aAttempt + " got 404 for a route that always was there");
    } else if (status == 401 && aKey == "k1") {
      m_ledger.Breach(aAttempt + " got 401 for a key that always was valid");
    }
  }
}

void
SoakCallers::CheckSuccess(const std::string& aAttempt,
                          AttemptKind aKind,
                          const HttpResponse& aResponse)
{
  if (aResponse["Attempt-Id"] != aAttempt ||
      aResponse["Response-Signature"].empty()) {
    m_ledger.Breach(aAttempt + " got an answer without its id or signature");
  }
  if (aKind != AttemptKind::Stream) {
    if (aResponse.body() != aAttempt) {
      m_ledger.Breach(aAttempt + " got the body '" + aResponse.body() + "'");
    }
    return;
  }
  std::string expected;
  for (int id = 1; id <= kSoakEvents; ++id) {
    const std::string number = std::to_string(id);
    expected.append("id: ").append(number);
    expected.append("\ndata: x").append(number).append("\n\n");
  }
  if (aResponse.body() != expected) {
    m_ledger.Breach(
      aAttempt + " got other events than its stream has: " + aResponse.body());
  }
}

} // namespace parsleycove
