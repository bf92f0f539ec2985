// The gateway of a VM that forwards requests of callers to endpoints.
#include "Forwarding/ForwardGateway.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Forwarding/AcceptLoop.h"
#include "Forwarding/ActivityWatch.h"
#include "Forwarding/ForwardSession.h"
#include "Forwarding/HttpService.h"
#include "Forwarding/PathDoctor.h"

namespace parsleycove {

namespace {

// Fine enough for an event gap target of 200 ms.
constexpr Duration kCallCheckInterval = std::chrono::milliseconds(15);
constexpr Duration kCallerCheckInterval = std::chrono::milliseconds(250);
// A new version of the configuration comes into force at the next request or
// the next maintenance run.
constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(150);
constexpr Duration kStopMargin = std::chrono::milliseconds(400);

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
    , m_board(m_options, aControl, aCodec, aLog)
    , m_callWatch(aContext, kCallCheckInterval)
    , m_callerWatch(aContext, kCallerCheckInterval)
    , m_doctor(aContext, aDialect, aLog)
    , m_drain(m_options.m_drainGrace)
    , m_metrics(aMetrics)
    , m_services{ aContext, m_options,   aDialect,      m_board,
                  m_pool,   m_callWatch, m_callerWatch, m_doctor,
                  m_drain,  aLog,        m_metrics }
    , m_accept(aContext, m_options.m_maxConnections)
    , m_readiness(aContext,
                  [this](const HttpRequest&) { return AnswerReadiness(); })
    , m_maintenanceTimer(aContext)
  {
    m_doctor.Attach(m_board, m_metrics, m_callWatch);
    m_callWatch.SetObserver([this](TimePoint aNow) { m_doctor.Check(aNow); });
  }

  asio::awaitable<HttpResponse> AnswerReadiness()
  {
    const TimePoint now = BootClock::now();
    m_board.Refresh(now);
    const bool isReady = IsReady(now);
    co_return MakeTextAnswer(isReady ? http::status::ok
                                     : http::status::service_unavailable,
                             isReady ? "ready\n" : "not ready\n");
  }

  bool IsReady(TimePoint aNow) const
  {
    return m_drain.Phase(aNow) == DrainPhase::Serving &&
           m_board.Config() != nullptr && m_board.HasLease(aNow);
  }

  asio::awaitable<void> Serve(Tcp::socket aSocket)
  {
    auto caller = std::make_shared<CallerConnection>(std::move(aSocket));
    m_callerWatch.Add(*caller);
    m_callers.push_back(caller);
    co_await RunForwardSession(m_services, caller);
  }

  void RunMaintenance()
  {
    const TimePoint now = BootClock::now();
    m_board.Refresh(now);
    m_doctor.Check(now);
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
  RoutingBoard m_board;
  ConnectionPool m_pool;
  ActivityWatch m_callWatch;
  ActivityWatch m_callerWatch;
  PathDoctor m_doctor;
  DrainState m_drain;
  ForwardMetrics m_metrics;
  ForwardServices m_services;
  AcceptLoop m_accept;
  HttpService m_readiness;
  asio::steady_timer m_maintenanceTimer;
  std::vector<std::weak_ptr<CallerConnection>> m_callers;
  TimePoint m_stopBegunAt{};
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
    [&parts](Tcp::socket aSocket) { return parts.Serve(std::move(aSocket)); });
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
  m_parts->m_stopBegunAt = BootClock::now();
  m_parts->m_drain.Begin(m_parts->m_stopBegunAt);
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
    aNow - parts.m_stopBegunAt > parts.m_options.m_stopGrace - kStopMargin;
  return isIdle || isGraceOver;
}

bool
ForwardGateway::IsReady(TimePoint aNow) const
{
  return m_parts->IsReady(aNow);
}

} // namespace parsleycove
