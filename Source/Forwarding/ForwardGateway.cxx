// The gateway of a VM that forwards requests of callers to endpoints.
#include "Forwarding/ForwardGateway.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Forwarding/AcceptLoop.h"
#include "Forwarding/ConnectionLosses.h"
#include "Forwarding/DeadlineMonitor.h"
#include "Forwarding/EndpointChecker.h"
#include "Forwarding/EngineFailureDetector.h"
#include "Forwarding/ForwardSession.h"
#include "Forwarding/HttpService.h"
#include "Forwarding/LimitExchange.h"
#include "Forwarding/NoticeRecorder.h"
#include "Forwarding/PromptPartReporter.h"
#include "Forwarding/ReachMonitor.h"

namespace parsleycove {

namespace {

// Fine enough for an event gap target of 200 ms.
constexpr Duration kCallCheckInterval = std::chrono::milliseconds(15);
constexpr Duration kCallerCheckInterval = std::chrono::milliseconds(250);
// A new version of the configuration comes into force at the next request or
// the next maintenance run.
constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(150);
// At the end of the stop grace, for the end of the process and before that for
// the last answers; at most these shares of the grace.
constexpr Duration kEndMargin = std::chrono::milliseconds(400);
constexpr Duration kLastAnswersTime = std::chrono::milliseconds(200);
constexpr int kMarginDivisor = 12;
// At least half of the stop grace is left for the requests that were taken.
constexpr int kDrainGraceDivisor = 2;

Duration
LastAnswersTime(const ForwardOptions& aOptions)
{
  return std::min(kLastAnswersTime, aOptions.m_stopGrace / kMarginDivisor);
}

// Returns how long after the begin of a stop all requests are ended.
Duration
WorkLimit(const ForwardOptions& aOptions)
{
  return aOptions.m_stopGrace - LastAnswersTime(aOptions) -
         std::min(kEndMargin, aOptions.m_stopGrace / kMarginDivisor);
}

} // namespace

struct ForwardGateway::Parts
{
  Parts(asio::io_context& aContext,
        const ForwardOptions& aOptions,
        const ForwardDialect& aDialect,
        const RoutingConfigCodec& aCodec,
        ControlPort& aControl,
        DecisionLog& aLog,
        MetricRegistry& aMetrics)
    : m_options(aOptions)
    , m_log(aLog)
    , m_routing(m_options, aControl, aCodec, aLog)
    , m_callDeadlines(aContext, kCallCheckInterval)
    , m_callerDeadlines(aContext, kCallerCheckInterval)
    , m_failureDetector(aContext, aDialect, aLog)
    , m_drain(std::min(m_options.m_drainGrace,
                       m_options.m_stopGrace / kDrainGraceDivisor),
              WorkLimit(m_options))
    , m_metrics(aMetrics)
    , m_unread(aMetrics)
    , m_receiveBudget(
        std::make_shared<ReceiveBudget>(m_options.m_receiveBudgetBytes))
    , m_answerBudget(
        std::make_shared<ReceiveBudget>(m_options.m_answerBudgetBytes,
                                        ReceiveBudget::kNeverStalled))
    , m_limits(m_routing, aControl, aLog, m_metrics)
    , m_notices(m_routing, m_pool, m_limits, m_metrics, aLog)
    , m_promptParts(aContext, aControl, aLog, m_metrics, m_options.m_seed)
    , m_reach(aContext,
              m_options,
              aDialect,
              m_routing,
              aControl,
              m_promptParts,
              aLog,
              m_metrics)
    , m_endpointChecker(aContext, m_pool, m_callDeadlines, m_reach)
    , m_services{ aContext,
                  m_options,
                  aDialect,
                  m_routing,
                  m_pool,
                  m_callDeadlines,
                  m_callerDeadlines,
                  m_failureDetector,
                  m_endpointChecker,
                  m_notices,
                  m_promptParts,
                  m_reach,
                  m_drain,
                  aLog,
                  m_metrics,
                  m_unread,
                  m_answerBudget }
    , m_callerPlaces(MakeCountedPlaces(
        LimitByDescriptors(m_options.m_maxConnections, MaxDescriptors()),
        aMetrics,
        "callers"))
    , m_accept(aContext, m_callerPlaces)
    , m_takeover(
        aContext,
        MakeCountedPlaces(
          LimitByDescriptors(m_options.m_maxConnections, MaxDescriptors()),
          aMetrics,
          "vms"))
    , m_readiness(
        aContext,
        [this](const HttpRequest&) { return AnswerReadiness(); },
        kSmallRequests)
    , m_maintenanceTimer(aContext)
    , m_workTimer(aContext)
  {
    m_failureDetector.Attach(m_routing,
                             m_metrics,
                             m_callDeadlines,
                             m_notices,
                             m_promptParts,
                             m_limits,
                             m_reach);
    aMetrics.AddGauge(
      "parsleycove_receive_budget_held_bytes", "", [budget = m_receiveBudget] {
        return static_cast<double>(budget->HeldBytes());
      });
    aMetrics.AddGauge(
      "parsleycove_answer_budget_held_bytes", "", [budget = m_answerBudget] {
        return static_cast<double>(budget->HeldBytes());
      });
    aMetrics.AddGauge("parsleycove_connections_held",
                      "listener=\"callers\"",
                      [places = m_callerPlaces] {
                        return static_cast<double>(places->Held());
                      });
    m_callDeadlines.SetObserver(
      [this](TimePoint aNow) { m_failureDetector.Check(aNow); });
  }

  asio::awaitable<HttpResponse> AnswerReadiness()
  {
    const TimePoint now = BootClock::now();
    m_routing.Refresh(now);
    const bool isReady = IsReady(now);
    co_return MakeTextAnswer(isReady ? http::status::ok
                                     : http::status::service_unavailable,
                             isReady ? "ready\n" : "not ready\n");
  }

  bool IsReady(TimePoint aNow) const
  {
    return m_drain.Phase(aNow) == DrainPhase::Serving &&
           m_routing.Config() != nullptr && m_routing.HasLease(aNow) &&
           !m_callerPlaces->IsShort(aNow);
  }

  asio::awaitable<void> Serve(Tcp::socket aSocket,
                              AcceptLoop::PlacePtr aPlace,
                              SessionKind aKind)
  {
    auto caller = std::make_shared<CallerConnection>(
      std::move(aSocket), std::move(aPlace), m_receiveBudget);
    m_callerDeadlines.Add(*caller);
    m_callers.push_back(caller);
    co_await RunForwardSession(m_services, caller, aKind);
  }

  // Ends what is still in progress shortly before the process ends.
  void EndWorkLater()
  {
    m_workTimer.expires_after(m_drain.WorkDeadline() - BootClock::now());
    m_workTimer.async_wait([this](const beast::error_code& aError) {
      if (!aError) {
        m_workEndedAt = BootClock::now();
        m_callDeadlines.LimitDeadlines(m_workEndedAt);
      }
    });
  }

  void RunMaintenance()
  {
    const TimePoint now = BootClock::now();
    m_routing.Refresh(now);
    m_failureDetector.Check(now);
    m_routing.PublishQueues(now, m_metrics);
    m_pool.CloseExpired(now);
    std::erase_if(m_callers,
                  [](const auto& aCaller) { return aCaller.expired(); });
    if (m_drain.Phase(now) == DrainPhase::Draining) {
      for (const auto& weak : m_callers) {
        if (const CallerConnectionPtr caller = weak.lock()) {
          caller->CloseIfIdle();
        }
      }
    }
    m_maintenanceTimer.expires_after(kMaintenanceInterval);
    m_maintenanceTimer.async_wait([this](const beast::error_code& aError) {
      if (!aError) {
        RunMaintenance();
      }
    });
  }

  const ForwardOptions m_options;
  DecisionLog& m_log;
  RoutingState m_routing;
  ConnectionPool m_pool;
  DeadlineMonitor m_callDeadlines;
  DeadlineMonitor m_callerDeadlines;
  EngineFailureDetector m_failureDetector;
  DrainState m_drain;
  ForwardMetrics m_metrics;
  UnreadRequests m_unread;
  // Of callers' connections and of those of other VMs together.
  const std::shared_ptr<ReceiveBudget> m_receiveBudget;
  // Of all calls to endpoints and to other VMs. An endpoint may be silent for
  // a while.
  const std::shared_ptr<ReceiveBudget> m_answerBudget;
  LimitExchange m_limits;
  NoticeRecorder m_notices;
  PromptPartReporter m_promptParts;
  ReachMonitor m_reach;
  EndpointChecker m_endpointChecker;
  ForwardServices m_services;
  const std::shared_ptr<ConnectionPlaces> m_callerPlaces;
  AcceptLoop m_accept;
  // Takes connections of other VMs that pass requests on.
  AcceptLoop m_takeover;
  HttpService m_readiness;
  asio::steady_timer m_maintenanceTimer;
  asio::steady_timer m_workTimer;
  std::vector<std::weak_ptr<CallerConnection>> m_callers;
  // TimePoint::max() until the requests in progress were ended.
  TimePoint m_workEndedAt = TimePoint::max();
};

ForwardGateway::ForwardGateway(asio::io_context& aContext,
                               const ForwardOptions& aOptions,
                               const ForwardDialect& aDialect,
                               const RoutingConfigCodec& aCodec,
                               ControlPort& aControl,
                               DecisionLog& aLog,
                               MetricRegistry& aMetrics)
  : m_parts(std::make_unique<Parts>(aContext,
                                    aOptions,
                                    aDialect,
                                    aCodec,
                                    aControl,
                                    aLog,
                                    aMetrics))
{
}

ForwardGateway::~ForwardGateway() = default;

bool
ForwardGateway::Start(std::string& aReason)
{
  Parts& parts = *m_parts;
  if (!parts.m_accept.Open(parts.m_options.m_listen, aReason) ||
      !parts.m_readiness.Open(parts.m_options.m_readiness, aReason)) {
    return false;
  }
  parts.m_accept.Start(
    [&parts](Tcp::socket aSocket, AcceptLoop::PlacePtr aPlace) {
      return parts.Serve(
        std::move(aSocket), std::move(aPlace), SessionKind::Caller);
    });
  if (parts.m_options.m_takeover) {
    SocketAddress address = *parts.m_options.m_takeover;
    if (!parts.m_takeover.Open(address, aReason)) {
      return false;
    }
    parts.m_takeover.Start(
      [&parts](Tcp::socket aSocket, AcceptLoop::PlacePtr aPlace) {
        return parts.Serve(
          std::move(aSocket), std::move(aPlace), SessionKind::Gateway);
      });
    address.m_port = parts.m_takeover.Port();
    parts.m_reach.Announce(address);
  }
  parts.RunMaintenance();
  return true;
}

std::uint16_t
ForwardGateway::Port() const
{
  return m_parts->m_accept.Port();
}

void
ForwardGateway::BeginStop()
{
  m_parts->m_drain.Begin(BootClock::now());
  m_parts->EndWorkLater();
  m_parts->m_reach.AnnounceStopping();
}

bool
ForwardGateway::IsStopped(TimePoint aNow) const
{
  const Parts& parts = *m_parts;
  if (parts.m_drain.Phase(aNow) != DrainPhase::Draining) {
    return false;
  }
  const bool isIdle = parts.m_drain.Active() == 0;
  const bool isGraceOver =
    aNow - parts.m_workEndedAt > LastAnswersTime(parts.m_options);
  return isIdle || isGraceOver;
}

bool
ForwardGateway::IsReady(TimePoint aNow) const
{
  return m_parts->IsReady(aNow);
}

} // namespace parsleycove
