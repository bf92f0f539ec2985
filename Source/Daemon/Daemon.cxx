// One process of a VM: gateway, and replica where there is a data folder.
#include "Daemon/Daemon.h"

#include <atomic>
#include <csignal>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Control/ReplicaService.h"
#include "Daemon/ControlProcess.h"
#include "Daemon/EntryProcess.h"
#include "Daemon/ReplicaLog.h"
#include "Gateway/GatewayServer.h"
#include "Telemetry/MetricRegistry.h"
#include "Telemetry/SpanStore.h"
#include "Telemetry/StandardStreams.h"

namespace parsleycove {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kSpanCapacity = 50'000;
// The last lines wait this long for their reader.
constexpr std::chrono::milliseconds kFlushLimitMs{ 500 };
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(20);

// Waits for a signal, an operator's drain or a failing store, then until all
// work in progress has ended.
class StopWatch
{
public:
  StopWatch(GatewayServer& aServer,
            ControlPort& aControl,
            const std::atomic<bool>& aHasFailed)
    : m_server(aServer)
    , m_control(aControl)
    , m_hasFailed(aHasFailed)
    , m_signals(m_context, SIGTERM, SIGINT)
    , m_timer(m_context)
  {
  }

  void Run()
  {
    WaitForSignal();
    CheckLater();
    m_context.run();
  }

private:
  void Begin(const std::string& aWhy)
  {
    Log(LogLevel::Info, "graceful stop", { { "why", aWhy } });
    m_server.Drain().Begin(BootClock::now());
    m_control.AnnounceStopping();
  }

  void WaitForSignal()
  {
    m_signals.async_wait([this](boost::system::error_code aError, int aSignal) {
      if (!aError) {
        Begin("signal " + std::to_string(aSignal));
        // A second signal changes nothing.
        WaitForSignal();
      }
    });
  }

  void CheckLater()
  {
    m_timer.expires_after(kDrainCheckInterval);
    m_timer.async_wait([this](boost::system::error_code) {
      if (m_hasFailed && !m_hasBegunForFailure) {
        m_hasBegunForFailure = true;
        Begin("the store failed");
      }
      if (m_server.Drain().IsFinished(BootClock::now())) {
        m_context.stop();
        return;
      }
      CheckLater();
    });
  }

  GatewayServer& m_server;
  ControlPort& m_control;
  const std::atomic<bool>& m_hasFailed;
  bool m_hasBegunForFailure = false;
  asio::io_context m_context{ 1 };
  asio::signal_set m_signals;
  asio::steady_timer m_timer;
};

std::unique_ptr<ReplicaService>
StartReplica(const DaemonSettings& aSettings, std::atomic<bool>& aHasFailed)
{
  ReplicaServiceOptions options = *aSettings.m_replica;
  options.m_onFatal = [&aHasFailed](const std::string& aWhy) {
    Log(LogLevel::Error, "replica has stopped", { { "why", aWhy } });
    aHasFailed = true;
  };
  options.m_log = WriteReplicaLog;
  ControlServiceReason reason;
  auto replica = ReplicaService::Start(options, reason);
  if (!replica) {
    Log(LogLevel::Error, "cannot start", { { "why", reason.m_text } });
    StandardError().Write("parsleycoved: " + reason.m_text);
  }
  return replica;
}

DaemonExit
RunGatewayProcess(const DaemonSettings& aSettings)
{
  std::atomic<bool> hasFailed{ false };
  std::unique_ptr<ReplicaService> replica;
  if (aSettings.m_replica) {
    replica = StartReplica(aSettings, hasFailed);
    if (!replica) {
      return DaemonExit::CannotStart;
    }
  }
  const SystemClock clock;
  MetricRegistry metrics;
  SpanStore spans(
    aSettings.m_gateway.m_vm, aSettings.m_traceFile, kSpanCapacity);
  auto control = std::make_unique<ControlClient>(aSettings.m_client);
  GatewayServer server(aSettings.m_gateway, clock, *control, metrics, spans);
  if (!server.Start()) {
    StandardError().Write("parsleycoved: " + server.LastReason().m_text);
    return DaemonExit::CannotStart;
  }
  Log(LogLevel::Info,
      "listening",
      { { "address", aSettings.m_gateway.m_listen.ToString() },
        { "port", std::to_string(server.Port()) } });
  StopWatch(server, *control, hasFailed).Run();
  // Calls of the control client end on the workers, so it goes first.
  control.reset();
  server.Stop();
  if (replica) {
    replica->Stop();
  }
  Log(LogLevel::Info, "stopped");
  return hasFailed ? DaemonExit::StoreFailed : DaemonExit::Stopped;
}

DaemonExit
RunRole(const DaemonSettings& aSettings,
        const SettingReader& aReader,
        Deployment& aDeployment)
{
  switch (aSettings.m_role) {
    case DaemonRole::Gateway:
      return RunGatewayProcess(aSettings);
    case DaemonRole::Entry:
      return RunEntryProcess(aSettings, aReader, aDeployment);
    case DaemonRole::Control:
      return RunControlProcess(aSettings, aReader, aDeployment);
  }
  return DaemonExit::CannotStart;
}

} // namespace

DaemonExit
RunDaemon(const DaemonSettings& aSettings,
          const SettingReader& aReader,
          Deployment& aDeployment)
{
  OpenLog(aSettings.m_logLevel, aSettings.m_logFile, aSettings.m_gateway.m_vm);
  const DaemonExit exit = RunRole(aSettings, aReader, aDeployment);
  FlushStandardStreams(kFlushLimitMs);
  return exit;
}

} // namespace parsleycove
