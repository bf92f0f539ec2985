// Serves the requests of one caller's connection in sequence.
#include "Forwarding/ForwardSession.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Forwarding/PlainForwarder.h"
#include "Forwarding/RequestJob.h"
#include "Forwarding/StreamForwarder.h"

namespace parsleycove {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kBodyTooLarge = 413;
constexpr unsigned kHeaderTooLarge = 431;
constexpr Duration kDefaultTimeout = std::chrono::seconds(30);
// After a start, an election and the first confirmation by a quorum take about
// a second.
constexpr Duration kMaxConfigurationWait = std::chrono::milliseconds(2500);
// A quorum answers within one or two round trips; an election takes about a
// second.
constexpr Duration kMaxConfirmWait = std::chrono::milliseconds(800);
constexpr Duration kConfigurationPollInterval = std::chrono::milliseconds(15);

// Returns the host without its port, in lower case.
std::string
ReadHost(const HttpRequest& aRequest)
{
  std::string host(aRequest[http::field::host]);
  if (const auto colon = host.find(':'); colon != std::string::npos) {
    host.resize(colon);
  }
  std::transform(
    host.begin(), host.end(), host.begin(), [](unsigned char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
  return host;
}

std::string_view
PathOf(const HttpRequest& aRequest)
{
  const std::string_view target = aRequest.target();
  return target.substr(0, target.find('?'));
}

unsigned
StatusOf(ReadResult aEnd)
{
  switch (aEnd) {
    case ReadResult::HeaderTooLarge:
      return kHeaderTooLarge;
    case ReadResult::BodyTooLarge:
      return kBodyTooLarge;
    case ReadResult::TimedOut:
      return kRequestTimeout;
    default:
      return kBadRequest;
  }
}

DecisionEvent
EventOf(RequestEnd aEnd)
{
  switch (aEnd) {
    case RequestEnd::Answered:
      return DecisionEvent::RequestAnswered;
    case RequestEnd::Refused:
      return DecisionEvent::RequestRefused;
    case RequestEnd::Failed:
      return DecisionEvent::RequestFailed;
    case RequestEnd::Cut:
      return DecisionEvent::RequestCut;
    case RequestEnd::CallerGone:
      return DecisionEvent::CallerGone;
  }
  return DecisionEvent::RequestFailed;
}

// Result of looking up a request in the local view of the configuration.
enum class LookupResult
{
  Found,
  // Without a configuration lease the view may be too old to decide.
  NoLease,
  NoRoute,
  UnknownKey,
};

class ForwardSession
{
public:
  ForwardSession(ForwardServices& aServices, CallerConnectionPtr aCaller)
    : m_services(aServices)
    , m_caller(std::move(aCaller))
  {
  }

  asio::awaitable<void> Run()
  {
    for (;;) {
      const auto config = m_services.m_board.HoldConfig();
      const CallerLimits limits = config ? config->Limits() : CallerLimits{};
      const ReadResult end = co_await m_caller->ReadRequest(limits);
      if (end == ReadResult::Closed) {
        break;
      }
      if (end != ReadResult::Request) {
        co_await AnswerReadFailure(StatusOf(end));
        break;
      }
      co_await Serve();
      if (m_caller->ClosesAfterAnswer() || m_caller->IsDisconnected()) {
        break;
      }
    }
    m_caller->Close();
  }

private:
  asio::awaitable<void> AnswerReadFailure(unsigned aStatus)
  {
    RequestJob job{ m_services, m_caller };
    job.m_arrival = BootClock::now();
    m_caller->CloseAfterAnswer();
    co_await Fail(job, aStatus, "the request cannot be read");
  }

  asio::awaitable<void> Serve()
  {
    const ActiveRequest active(m_services.m_drain);
    RequestJob job{ m_services, m_caller };
    job.m_arrival = BootClock::now();
    if (m_services.m_drain.Phase(job.m_arrival) != DrainPhase::Serving) {
      m_caller->CloseAfterAnswer();
    }
    m_caller->WatchForDisconnect([&job] {
      if (job.m_call) {
        job.m_call->Abort(CallEnd::CallerGone);
      }
    });
    if (co_await Prepare(job)) {
      if (job.m_route->m_kind == RequestKind::Streaming) {
        co_await ForwardStream(job);
      } else {
        co_await ForwardPlain(job);
      }
    }
    m_caller->StopWatching();
    RecordOutcome(job);
  }

  // Finds the route and the client account. Returns false if the request is not
  // forwarded; the caller has then been answered.
  asio::awaitable<bool> Prepare(RequestJob& aJob)
  {
    RoutingBoard& board = m_services.m_board;
    aJob.m_headers = m_services.m_dialect.ParseCallerHeaders(aJob.Request());
    aJob.m_deadline =
      aJob.m_arrival + aJob.m_headers.m_timeout.value_or(kDefaultTimeout);
    // A request accepted while the gateway drains would be cut off at the end
    // of the stop grace, and would keep the VM up longer than the balancer
    // sends callers to it.
    if (m_services.m_drain.Phase(aJob.m_arrival) == DrainPhase::Draining) {
      co_await Refuse(aJob, RefusalCause::Stopping);
      co_return false;
    }
    co_await WaitForConfiguration(aJob);
    if (board.Config() == nullptr) {
      co_await Refuse(aJob, RefusalCause::NoConfiguration);
      co_return false;
    }
    LookupResult lookup = LookUpRequest(aJob);
    if (lookup == LookupResult::NoRoute || lookup == LookupResult::UnknownKey) {
      if (!co_await ConfirmLocalView(aJob)) {
        co_await Refuse(aJob, RefusalCause::NoLease);
        co_return false;
      }
      lookup = LookUpRequest(aJob);
    }
    switch (lookup) {
      case LookupResult::Found:
        break;
      case LookupResult::NoLease:
        co_await Refuse(aJob, RefusalCause::NoLease);
        co_return false;
      case LookupResult::NoRoute:
        co_await Fail(aJob, kNotFound, "no route for this host and path");
        co_return false;
      case LookupResult::UnknownKey:
        co_await Fail(aJob, kUnauthorized, "the key belongs to no account");
        co_return false;
    }
    aJob.m_service = board.ChooseService(*aJob.m_route);
    aJob.m_deadline =
      std::min(aJob.m_deadline, aJob.m_arrival + aJob.m_route->m_timeout);
    co_return true;
  }

  // Waits until this VM has a configuration and a lease. Load pattern: all VMs
  // restart at once, or the control group elects a leader. The configuration
  // arrives within about a second; a caller that is refused instead retries too
  // early or not at all.
  asio::awaitable<void> WaitForConfiguration(RequestJob& aJob)
  {
    RoutingBoard& board = m_services.m_board;
    const TimePoint waitLimit =
      aJob.m_arrival + (aJob.m_deadline - aJob.m_arrival) / 3;
    asio::steady_timer timer(m_services.m_context);
    for (;;) {
      const TimePoint now = BootClock::now();
      board.Refresh(now);
      const bool isReady = board.Config() != nullptr && board.HasLease(now);
      // A VM that has had no lease for longer is likely to stay without one for
      // some time.
      const TimePoint until =
        std::min(waitLimit, board.LeaseLostAt() + kMaxConfigurationWait);
      if (isReady || now >= until || aJob.m_caller->IsDisconnected()) {
        co_return;
      }
      timer.expires_after(kConfigurationPollInterval);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  // Looks up the request's route and account in the local view.
  LookupResult LookUpRequest(RequestJob& aJob)
  {
    RoutingBoard& board = m_services.m_board;
    const bool hasLease = board.HasLease(BootClock::now());
    aJob.m_config = board.HoldConfig();
    aJob.m_account = nullptr;
    aJob.m_route = aJob.m_config->FindRoute(ReadHost(aJob.Request()),
                                            PathOf(aJob.Request()));
    if (aJob.m_route == nullptr) {
      return hasLease ? LookupResult::NoRoute : LookupResult::NoLease;
    }
    if (!aJob.m_config->HasAccounts()) {
      return LookupResult::Found;
    }
    const std::string_view key = aJob.m_headers.m_apiKey;
    const bool mayBeAnonymous = aJob.m_route->m_allowsAnonymous;
    // The key may have been removed since a quorum last confirmed the view.
    if (!hasLease && !mayBeAnonymous) {
      return LookupResult::NoLease;
    }
    if (!key.empty() && hasLease) {
      aJob.m_account = aJob.m_config->FindAccount(key);
    }
    return aJob.m_account != nullptr || mayBeAnonymous
             ? LookupResult::Found
             : LookupResult::UnknownKey;
  }

  // Waits until a quorum confirms that the local view is current; returns false
  // if none does in time. Fault pattern: the feed of a VM breaks, the VM keeps
  // serving under its lease, and a version accepted meanwhile adds a route or a
  // key. The lease guarantees that no removal was missed for long, but only a
  // quorum can confirm that a route or a key does not exist.
  asio::awaitable<bool> ConfirmLocalView(RequestJob& aJob)
  {
    const TimePoint deadline =
      BootClock::now() + std::min(kMaxConfirmWait, aJob.TimeLeft() / 3);
    const bool isConfirmed = co_await m_services.m_board.Confirm(
      m_services.m_context, deadline, aJob.m_detail);
    m_services.m_board.Refresh(BootClock::now());
    co_return isConfirmed;
  }

  void RecordOutcome(const RequestJob& aJob)
  {
    const RequestKind kind =
      aJob.m_route ? aJob.m_route->m_kind : RequestKind::Unsafe;
    m_services.m_metrics.Count(kind, aJob.m_end);
    if (kind != RequestKind::Streaming && aJob.m_end == RequestEnd::Answered) {
      m_services.m_metrics.RecordFirstAnswer(kind, aJob.m_firstAfter);
    }
    // Refuse() has already logged the refusal with its cause.
    if (aJob.m_end == RequestEnd::Refused) {
      return;
    }
    m_services.m_log.Write(EventOf(aJob.m_end), [&](DecisionLine& aLine) {
      if (aJob.m_path && (aJob.m_path->m_crossings != 0 ||
                          aJob.m_end != RequestEnd::Answered)) {
        aLine.Add("path", aJob.m_path->Describe());
      }
      aLine.Add("id", aJob.m_headers.m_attemptId)
        .Add("route", aJob.m_route ? aJob.m_route->m_name : "")
        .Add("kind", NameOf(kRequestKindNames, kind))
        .Add("account", aJob.m_account ? aJob.m_account->m_name : "")
        .Add("service", aJob.m_service)
        .Add("endpoint", aJob.m_lastEndpoint)
        .Add("status", aJob.m_status)
        .Add("why", aJob.m_why)
        .Add("last_fault", aJob.m_lastFault)
        .Add("attempts", aJob.m_attempts)
        .Add("resumes", aJob.m_resumes)
        .Add("crossings",
             aJob.m_path ? static_cast<std::int64_t>(aJob.m_path->m_crossings)
                         : 0)
        .AddMs("first_ms", aJob.m_firstAfter)
        .AddMs("longest_gap_ms", aJob.m_longestGap)
        .AddMs("took_ms", BootClock::now() - aJob.m_arrival)
        .Add("config",
             aJob.m_config ? static_cast<std::int64_t>(aJob.m_config->Version())
                           : 0);
    });
  }

  ForwardServices& m_services;
  CallerConnectionPtr m_caller;
};

} // namespace

asio::awaitable<void>
RunForwardSession(ForwardServices& aServices, CallerConnectionPtr aCaller)
{
  ForwardSession session(aServices, std::move(aCaller));
  co_await session.Run();
}

} // namespace parsleycove
