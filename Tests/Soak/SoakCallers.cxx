// Callers of the entry VMs.
#include "Soak/SoakCallers.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Soak/SoakBackend.h"

namespace parsleycove {

namespace {

constexpr std::chrono::milliseconds kPlainPatienceMs{ 1500 };
constexpr std::chrono::milliseconds kStreamPatienceMs{ 8000 };
constexpr unsigned kHttp11 = 11;

constexpr std::chrono::milliseconds kReconnectMs{ 40 };
// Pause of a held connection that is in use, for each entry VM.
constexpr std::chrono::milliseconds kHeldPauseMs{ 60 };
// Half of them are idle after their first request.
constexpr int kHeldPerEntry = 6;
// One of so many streams has a part that crashes engines.
constexpr std::uint64_t kCrashingShare = 8;
// One of so many requests is the one that comes again.
constexpr std::uint64_t kRepeatShare = 24;

std::chrono::milliseconds
PatienceOf(AttemptKind aKind)
{
  return aKind == AttemptKind::Stream ? kStreamPatienceMs : kPlainPatienceMs;
}

bool
IsPromise(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

} // namespace

SoakCallers::SoakCallers(boost::asio::io_context& aContext,
                         SoakLedger& aLedger,
                         std::vector<SoakEntryDoor> aEntries,
                         std::uint64_t aSeed,
                         SoakCrashing aCrashing)
  : m_context(aContext)
  , m_ledger(aLedger)
  , m_entries(std::move(aEntries))
  , m_client(aContext.get_executor())
  , m_random(aSeed)
  , m_crashing(aCrashing)
{
}

SoakCallers::Errand
SoakCallers::DrawErrand(const SoakEntryDoor& aEntry)
{
  Errand errand;
  errand.m_attempt = "a" + std::to_string(++m_count);
  errand.m_kind = static_cast<AttemptKind>(m_random.Below(3));
  errand.m_key = m_random.Below(4) == 0 ? "k2" : "k1";
  errand.m_entry = &aEntry;
  errand.m_isCrashing = m_crashing.m_hasPart &&
                        errand.m_kind == AttemptKind::Stream &&
                        m_random.Below(kCrashingShare) == 0;
  if (m_crashing.m_request && m_random.Below(kRepeatShare) == 0) {
    errand.m_kind = *m_crashing.m_request;
    errand.m_key = "k1";
    errand.m_isRepeat = true;
  }
  return errand;
}

void
SoakCallers::Ask()
{
  ++m_open;
  boost::asio::co_spawn(
    m_context,
    Exchange(DrawErrand(m_entries[m_random.Below(m_entries.size())]), nullptr),
    [this](const std::exception_ptr& aFault) {
      --m_open;
      if (aFault) {
        m_ledger.Breach("a caller failed by itself");
      }
    });
}

void
SoakCallers::Hold()
{
  m_isHolding = true;
  for (const SoakEntryDoor& entry : m_entries) {
    for (int i = 0; i < kHeldPerEntry; ++i) {
      boost::asio::co_spawn(
        m_context, UseHeld(entry, i % 2 == 0), boost::asio::detached);
    }
  }
}

boost::asio::awaitable<void>
SoakCallers::UseHeld(const SoakEntryDoor& aEntry, bool aIsIdle)
{
  HeldConnection connection(m_context.get_executor());
  boost::asio::steady_timer timer(m_context);
  while (m_isHolding) {
    if (!connection.IsOpen() && !co_await connection.Connect(aEntry.m_direct)) {
      timer.expires_after(kReconnectMs);
      co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
      continue;
    }
    ++m_open;
    Errand errand = DrawErrand(aEntry);
    co_await Exchange(std::move(errand), &connection);
    --m_open;
    if (aIsIdle && connection.IsOpen()) {
      co_await connection.AwaitEnd();
    }
    timer.expires_after(kHeldPauseMs * (1 + m_random.Below(m_entries.size())));
    co_await timer.async_wait(
      boost::asio::as_tuple(boost::asio::use_awaitable));
  }
}

HttpRequest
SoakCallers::MakeRequest(const Errand& aErrand) const
{
  const bool isStream = aErrand.m_kind == AttemptKind::Stream;
  const std::string path = isStream                              ? "/stream/x"
                           : aErrand.m_kind == AttemptKind::Safe ? "/safe/x"
                                                                 : "/unsafe/x";
  HttpRequest request(
    http::verb::post, aErrand.m_isRepeat ? path + kSoakCrash : path, kHttp11);
  request.set(http::field::host, "one.example");
  request.set("Attempt-Id", aErrand.m_attempt);
  request.set("Deadline-Ms",
              std::to_string(PatienceOf(aErrand.m_kind).count()));
  request.set("Authorization", "Bearer " + aErrand.m_key);
  if (isStream) {
    request.set("Model", "m");
    request.set("Token-Usage", "100,24");
    const std::string middle =
      aErrand.m_isCrashing ? std::string(kSoakCrashingPart) + "," : "";
    request.set(kSoakPartsHeader,
                "1:60," + middle + "f" +
                  (aErrand.m_isRepeat ? "0" : aErrand.m_attempt.substr(1)) +
                  ":10");
  }
  request.body() =
    aErrand.m_isRepeat ? "the same" : "body of " + aErrand.m_attempt;
  request.prepare_payload();
  return request;
}

boost::asio::awaitable<void>
SoakCallers::Exchange(Errand aErrand, HeldConnection* aHeld)
{
  const auto patience = PatienceOf(aErrand.m_kind);
  const TimePoint now = BootClock::now();
  SoakAttempt sent;
  sent.m_kind = aErrand.m_kind;
  sent.m_key = aErrand.m_key;
  sent.m_entry = aErrand.m_entry->m_name;
  if (aHeld == nullptr) {
    sent.m_link = aErrand.m_entry->m_link.ToString();
  }
  sent.m_sentAt = now;
  sent.m_deadline = now + patience;
  sent.m_isExcused = aErrand.m_isCrashing || aErrand.m_isRepeat;
  m_ledger.NoteSent(aErrand.m_attempt, std::move(sent));
  HttpRequest request = MakeRequest(aErrand);
  CallResult result;
  if (aHeld != nullptr) {
    result = co_await aHeld->Call(std::move(request), patience);
  } else {
    result = co_await m_client.Call(aErrand.m_entry->m_link,
                                    std::move(request),
                                    patience,
                                    ConnectionChoice::Reuse);
  }
  if (result.m_response) {
    CheckAnswer(aErrand, *result.m_response);
    co_return;
  }
  const bool isBroken = result.m_reason.m_code == CallError::Broken;
  m_ledger.NoteEnd(aErrand.m_attempt,
                   isBroken ? AttemptEnd::BrokenOff : AttemptEnd::TimedOut,
                   result.m_reason.m_text,
                   BootClock::now());
}

void
SoakCallers::CheckAnswer(const Errand& aErrand, const HttpResponse& aResponse)
{
  const std::string& attempt = aErrand.m_attempt;
  const unsigned status = aResponse.result_int();
  AttemptEnd end = AttemptEnd::Failed;
  if (status == 200) {
    CheckSuccess(attempt, aErrand.m_kind, aResponse);
    end = AttemptEnd::Served;
  } else if (IsPromise(status)) {
    end = AttemptEnd::Refused;
  }
  m_ledger.NoteEnd(attempt,
                   end,
                   std::to_string(status) + " " + aResponse.body(),
                   BootClock::now());
  if (status == 404) {
    m_ledger.Breach(attempt + " got 404 for a route that always was there");
  } else if (status == 401 && aErrand.m_key == "k1") {
    m_ledger.Breach(attempt + " got 401 for a key that always was valid");
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
      m_ledger.Breach(aAttempt + " got the body '" + aResponse.body() + "'" +
                      m_ledger.Attempts().at(aAttempt).m_story);
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
    m_ledger.Breach(aAttempt + " got other events than its stream has" +
                    m_ledger.Attempts().at(aAttempt).m_story + ": " +
                    aResponse.body());
  }
}

} // namespace parsleycove
