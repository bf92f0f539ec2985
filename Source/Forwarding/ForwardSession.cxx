// Serves the requests of one caller's connection in sequence.
#include "Forwarding/ForwardSession.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/RequestIdentity.h"
#include "Forwarding/ForwardedRequest.h"
#include "Forwarding/PlainForwarder.h"
#include "Forwarding/ReachMonitor.h"
#include "Forwarding/StreamForwarder.h"

namespace parsleycove {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kBodyTooLarge = 413;
constexpr unsigned kHeaderTooLarge = 431;
constexpr unsigned kUnavailable = 503;
// The reads that fill the budget end or are refused within about a second.
constexpr Duration kLeastRetryAfter = std::chrono::seconds(1);
constexpr Duration kRetryAfterSpread = std::chrono::seconds(1);
// Characters of a prompt part's id in the log.
constexpr std::size_t kMaxLogged = 32;
constexpr Duration kDefaultTimeout = std::chrono::seconds(30);
// After a start, an election and the first confirmation by a quorum take about
// a second.
constexpr Duration kMaxConfigurationWait = std::chrono::milliseconds(2500);
constexpr Duration kWriteTimeout = std::chrono::seconds(5);
// A VM whose loop runs later than this has no room for requests of others.
constexpr Duration kMaxTakeoverDelay = std::chrono::milliseconds(60);
// A quorum answers within one or two round trips; an election takes about a
// second.
constexpr Duration kMaxConfirmWait = std::chrono::milliseconds(800);
constexpr Duration kConfigurationPollInterval = std::chrono::milliseconds(15);

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
  ForwardSession(ForwardServices& aServices,
                 CallerConnectionPtr aCaller,
                 SessionKind aKind)
    : m_services(aServices)
    , m_caller(std::move(aCaller))
    , m_kind(aKind)
  {
  }

  asio::awaitable<void> Run()
  {
    for (;;) {
      const auto config = m_services.m_routing.SharedConfig();
      const CallerLimits limits = config ? config->Limits() : CallerLimits{};
      const ReadResult end = co_await m_caller->ReadRequest(limits);
      if (end == ReadResult::Closed) {
        break;
      }
      if (end != ReadResult::Request) {
        co_await AnswerReadFailure(end);
        co_await m_caller->CloseUnread();
        co_return;
      }
      if (m_kind == SessionKind::Gateway &&
          m_caller->Request()[kPassedOnHeader].empty()) {
        co_await AnswerProbe();
      } else {
        co_await Serve();
      }
      if (m_caller->ClosesAfterAnswer() || m_caller->IsDisconnected()) {
        break;
      }
    }
    m_caller->Close();
  }

private:
  asio::awaitable<void> AnswerReadFailure(ReadResult aEnd)
  {
    ForwardedRequest request{ m_services, m_caller };
    request.m_arrival = BootClock::now();
    m_caller->CloseAfterAnswer();
    m_services.m_unread.Count(aEnd, request.m_arrival);
    if (aEnd == ReadResult::Refused) {
      // Spread, so that refused callers do not all come back at once.
      const Duration retryAfter =
        kLeastRetryAfter +
        std::chrono::duration_cast<Duration>(
          kRetryAfterSpread * m_services.m_routing.DrawFraction());
      co_await m_caller->Write(
        MakeGatewayAnswer(request,
                          kUnavailable,
                          "this VM reads too many requests at once",
                          retryAfter),
        kWriteTimeout);
      co_return;
    }
    co_await Fail(request, StatusOf(aEnd), "the request cannot be read");
  }

  // Tells another VM that this process runs.
  asio::awaitable<void> AnswerProbe()
  {
    ForwardedRequest request{ m_services, m_caller };
    request.m_arrival = BootClock::now();
    co_await m_caller->Write(
      MakeGatewayAnswer(request, kOk, "running\n", Duration::zero()),
      kWriteTimeout);
  }

  asio::awaitable<void> Serve()
  {
    const ActiveRequest active(m_services.m_drain);
    ForwardedRequest request{ m_services, m_caller };
    request.m_arrival = BootClock::now();
    if (m_services.m_drain.Phase(request.m_arrival) != DrainPhase::Serving) {
      m_caller->CloseAfterAnswer();
    }
    m_caller->WatchForDisconnect([&request] {
      if (request.m_call) {
        request.m_call->Abort(CallEnd::CallerGone);
      }
    });
    if (co_await Prepare(request)) {
      request.m_identity = Identify(request);
      if (request.m_route->m_kind == RequestKind::Streaming) {
        co_await ForwardStream(request);
      } else {
        co_await ForwardPlain(request);
      }
    }
    m_caller->StopWatching();
    RecordOutcome(request);
  }

  static std::string Identify(const ForwardedRequest& aRequest)
  {
    const HttpRequest& http = aRequest.Http();
    RequestContent content;
    content.m_method = http.method_string();
    content.m_host = http[http::field::host];
    content.m_target = http.target();
    content.m_prompt = aRequest.m_headers.m_prompt;
    content.m_body = http.body();
    if (aRequest.m_account != nullptr) {
      content.m_account = aRequest.m_account->m_name;
    }
    return IdentifyRequest(content);
  }

  // Finds the route and the client account. Returns false if the request is not
  // forwarded; the caller has then been answered.
  asio::awaitable<bool> Prepare(ForwardedRequest& aRequest)
  {
    RoutingState& routing = m_services.m_routing;
    aRequest.m_headers =
      m_services.m_dialect.ParseCallerHeaders(aRequest.Http());
    aRequest.m_deadline =
      aRequest.m_arrival +
      aRequest.m_headers.m_timeout.value_or(kDefaultTimeout);
    if (m_kind == SessionKind::Gateway) {
      const bool isTaken = co_await TakeOver(aRequest);
      if (!isTaken) {
        co_return false;
      }
    } else {
      co_await WaitForConfiguration(aRequest);
    }
    // A request sent while the gateway drains may not finish before the end of
    // the stop grace, and would keep the VM up longer than the balancer sends
    // callers to it.
    if (m_services.m_drain.Phase(BootClock::now()) == DrainPhase::Draining) {
      co_await Refuse(aRequest, RefusalCause::Stopping);
      co_return false;
    }
    if (routing.Config() == nullptr) {
      co_await Refuse(aRequest, RefusalCause::NoConfiguration);
      co_return false;
    }
    LookupResult lookup = LookUpRequest(aRequest);
    if (lookup == LookupResult::NoRoute || lookup == LookupResult::UnknownKey) {
      if (!co_await ConfirmLocalView(aRequest)) {
        co_await Refuse(aRequest, RefusalCause::NoLease);
        co_return false;
      }
      lookup = LookUpRequest(aRequest);
    }
    switch (lookup) {
      case LookupResult::Found:
        break;
      case LookupResult::NoLease:
        co_await Refuse(aRequest, RefusalCause::NoLease);
        co_return false;
      case LookupResult::NoRoute:
        co_await Fail(aRequest, kNotFound, "no route for this host and path");
        co_return false;
      case LookupResult::UnknownKey:
        co_await Fail(aRequest, kUnauthorized, "the key belongs to no account");
        co_return false;
    }
    aRequest.m_service = routing.ChooseService(*aRequest.m_route);
    aRequest.m_level = routing.LevelOf(
      aRequest.m_service, *aRequest.m_route, aRequest.m_account);
    if (m_kind == SessionKind::Gateway &&
        m_services.m_reach.IsUnreached(aRequest.m_service)) {
      co_await Refuse(aRequest, RefusalCause::EndpointsUnreached);
      co_return false;
    }
    aRequest.m_deadline = std::min(
      aRequest.m_deadline, aRequest.m_arrival + aRequest.m_route->m_timeout);
    co_return true;
  }

  // Prepares a request that another VM passed on. Returns false if this VM
  // refuses it, without a wait: the other VM tries the next one.
  asio::awaitable<bool> TakeOver(ForwardedRequest& aRequest)
  {
    aRequest.m_passedOn = ParsePassedOn(aRequest.Http()[kPassedOnHeader]);
    if (!aRequest.m_passedOn) {
      co_await Fail(
        aRequest, kBadRequest, "the passed-on header is unreadable");
      co_return false;
    }
    aRequest.m_isCounted = aRequest.m_passedOn->m_isCounted;
    ++m_services.m_metrics.TakenOver();
    m_services.m_routing.Refresh(aRequest.m_arrival);
    if (m_services.m_callDeadlines.LastCheckDelay() > kMaxTakeoverDelay) {
      co_await Refuse(aRequest, RefusalCause::Overloaded);
      co_return false;
    }
    if (!m_services.m_routing.HasLease(aRequest.m_arrival)) {
      co_await Refuse(aRequest, RefusalCause::NoLease);
      co_return false;
    }
    co_return true;
  }

  // Waits until this VM has a configuration and a lease. Load pattern: all VMs
  // restart at once, or the control group elects a leader. The configuration
  // arrives within about a second; a caller that is refused instead retries too
  // early or not at all.
  asio::awaitable<void> WaitForConfiguration(ForwardedRequest& aRequest)
  {
    RoutingState& routing = m_services.m_routing;
    const TimePoint waitLimit =
      aRequest.m_arrival + (aRequest.m_deadline - aRequest.m_arrival) / 3;
    asio::steady_timer timer(m_services.m_context);
    for (;;) {
      const TimePoint now = BootClock::now();
      routing.Refresh(now);
      const bool isReady = routing.Config() != nullptr && routing.HasLease(now);
      if (m_services.m_drain.Phase(now) == DrainPhase::Draining) {
        co_return;
      }
      // A VM that has had no lease for longer is likely to stay without one for
      // some time.
      const TimePoint until =
        std::min(waitLimit, routing.LeaseLostAt() + kMaxConfigurationWait);
      if (isReady || now >= until || aRequest.m_caller->IsDisconnected()) {
        co_return;
      }
      timer.expires_after(kConfigurationPollInterval);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  // Looks up the request's route and account in the local view.
  LookupResult LookUpRequest(ForwardedRequest& aRequest)
  {
    RoutingState& routing = m_services.m_routing;
    const bool hasLease = routing.HasLease(BootClock::now());
    aRequest.m_config = routing.SharedConfig();
    aRequest.m_account = nullptr;
    aRequest.m_route = aRequest.m_config->FindRoute(
      aRequest.Http()[http::field::host], PathOf(aRequest.Http()));
    if (aRequest.m_route == nullptr) {
      return hasLease ? LookupResult::NoRoute : LookupResult::NoLease;
    }
    if (!aRequest.m_config->HasAccounts()) {
      return LookupResult::Found;
    }
    const std::string_view key = aRequest.m_headers.m_apiKey;
    const bool mayBeAnonymous = aRequest.m_route->m_allowsAnonymous;
    // The key may have been removed since a quorum last confirmed the view.
    if (!hasLease && !mayBeAnonymous) {
      return LookupResult::NoLease;
    }
    if (!key.empty() && hasLease) {
      aRequest.m_account = aRequest.m_config->FindAccount(key);
    }
    return aRequest.m_account != nullptr || mayBeAnonymous
             ? LookupResult::Found
             : LookupResult::UnknownKey;
  }

  // Waits until a quorum confirms that the local view is current; returns false
  // if none does in time. Fault pattern: the feed of a VM breaks, the VM keeps
  // serving under its lease, and a version accepted meanwhile adds a route or a
  // key. The lease guarantees that no removal was missed for long, but only a
  // quorum can confirm that a route or a key does not exist.
  asio::awaitable<bool> ConfirmLocalView(ForwardedRequest& aRequest)
  {
    const TimePoint deadline =
      BootClock::now() + std::min(kMaxConfirmWait, aRequest.TimeLeft() / 3);
    const bool isConfirmed = co_await m_services.m_routing.Confirm(
      m_services.m_context, deadline, aRequest.m_detail);
    m_services.m_routing.Refresh(BootClock::now());
    co_return isConfirmed;
  }

  void RecordOutcome(const ForwardedRequest& aRequest)
  {
    const RequestKind kind =
      aRequest.m_route ? aRequest.m_route->m_kind : RequestKind::Unsafe;
    m_services.m_metrics.Count(kind, aRequest.m_end);
    if (kind != RequestKind::Streaming &&
        aRequest.m_end == RequestEnd::Answered) {
      m_services.m_metrics.RecordFirstAnswer(kind, aRequest.m_firstAnswerDelay);
    }
    // Refuse() has already logged the refusal with its cause.
    if (aRequest.m_end == RequestEnd::Refused) {
      return;
    }
    m_services.m_log.Write(EventOf(aRequest.m_end), [&](DecisionLine& aLine) {
      if (aRequest.m_path && (aRequest.m_path->m_crossings != 0 ||
                              aRequest.m_end != RequestEnd::Answered)) {
        aLine.Add("path", aRequest.m_path->Describe());
      }
      if (aRequest.m_end == RequestEnd::Cut) {
        AddCut(aLine, aRequest);
      }
      if (aRequest.m_end == RequestEnd::Cut ||
          aRequest.m_end == RequestEnd::Failed) {
        AddContent(aLine, aRequest);
      }
      if (aRequest.m_level) {
        aLine.Add("level", static_cast<std::int64_t>(*aRequest.m_level));
      }
      aLine.Add("id", aRequest.m_headers.m_attemptId)
        .Add("route", aRequest.m_route ? aRequest.m_route->m_name : "")
        .Add("kind", NameOf(kRequestKindNames, kind))
        .Add("account", aRequest.m_account ? aRequest.m_account->m_name : "")
        .Add("service", aRequest.m_service)
        .Add("endpoint", aRequest.m_lastEndpoint)
        .Add("taken_over_from",
             aRequest.m_passedOn ? aRequest.m_passedOn->m_vm : "")
        .Add("attempts_before",
             aRequest.m_passedOn ? aRequest.m_passedOn->m_attempts : 0)
        .Add("status", aRequest.m_status)
        .Add("why", aRequest.m_why)
        .Add("last_fault", aRequest.m_lastFault)
        .Add("attempts", aRequest.m_attempts)
        .Add("resumes", aRequest.m_resumes)
        .Add("crossings",
             aRequest.m_path
               ? static_cast<std::int64_t>(aRequest.m_path->m_crossings)
               : 0)
        .AddMs("first_ms", aRequest.m_firstAnswerDelay)
        .AddMs("longest_gap_ms", aRequest.m_longestGap)
        .Add("pauses_moved", aRequest.m_pausesMoved)
        .Add("pauses_kept", aRequest.m_pausesInPlace)
        .AddMs("took_ms", BootClock::now() - aRequest.m_arrival)
        .Add("config",
             aRequest.m_config
               ? static_cast<std::int64_t>(aRequest.m_config->Version())
               : 0);
    });
  }

  void AddCut(DecisionLine& aLine, const ForwardedRequest& aRequest) const
  {
    const RoutingConfig* config = m_services.m_routing.Config();
    aLine.Add("gave_up", aRequest.m_cutCause)
      .AddMs("silent_ms", aRequest.m_silentFor)
      .Add("config_in_force",
           config ? static_cast<std::int64_t>(config->Version()) : 0);
  }

  // What failed requests have in common, a part of their prompts or all of it,
  // may be why their endpoints crashed.
  static void AddContent(DecisionLine& aLine, const ForwardedRequest& aRequest)
  {
    std::string parts;
    for (const std::string_view part : aRequest.m_headers.m_sharedParts) {
      parts.append(parts.empty() ? "" : ",").append(part.substr(0, kMaxLogged));
    }
    if (!parts.empty()) {
      aLine.Add("parts", parts);
    }
    if (!aRequest.m_identity.empty()) {
      aLine.Add("request", aRequest.m_identity);
    }
  }

  ForwardServices& m_services;
  CallerConnectionPtr m_caller;
  const SessionKind m_kind;
};

} // namespace

asio::awaitable<void>
RunForwardSession(ForwardServices& aServices,
                  CallerConnectionPtr aCaller,
                  SessionKind aKind)
{
  ForwardSession session(aServices, std::move(aCaller), aKind);
  co_await session.Run();
}

} // namespace parsleycove
