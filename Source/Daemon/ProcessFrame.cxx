// What roles entry and control have in common: log, metrics, signals.
#include "Daemon/ProcessFrame.h"

#include <csignal>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "Telemetry/StandardStreams.h"

namespace parsleycove {

ProcessFrame::ProcessFrame(const DaemonSettings& aSettings,
                           const SettingReader& aReader)
  : m_settings(aSettings)
  , m_decisions(aSettings.m_gateway.m_vm, m_sink)
  , m_signals(m_context, SIGTERM, SIGINT)
  , m_metricsPage(
      m_context,
      [this](const HttpRequest&) -> asio::awaitable<HttpResponse> {
        co_return MakeTextAnswer(http::status::ok, m_metrics.Print());
      },
      kSmallRequests)
  , m_reader(aReader)
{
}

bool
ProcessFrame::Start(ControlClient& aControl,
                    std::function<void()> aOnStop,
                    std::string& aReason)
{
  if (m_settings.m_metricsListen &&
      !m_metricsPage.Open(*m_settings.m_metricsListen, aReason)) {
    return false;
  }
  m_metrics.AddGauge("parsleycove_log_lines_dropped", "", [this] {
    return static_cast<double>(m_decisions.Dropped() + CountDroppedLines());
  });
  m_metrics.AddGauge("parsleycove_view_index", "", [&aControl] {
    return static_cast<double>(aControl.View()->Index());
  });
  m_metrics.AddGauge("parsleycove_config_version", "", [&aControl] {
    const auto view = aControl.View();
    const auto& document = view->Image().document;
    return document ? static_cast<double>(document->version) : 0.0;
  });
  m_metrics.AddGauge("parsleycove_has_lease", "", [&aControl] {
    return aControl.HasLease(BootClock::now()) ? 1.0 : 0.0;
  });
  m_metrics.AddGauge("parsleycove_entry_vms", "", [&aControl] {
    return static_cast<double>(aControl.GatewayCount());
  });
  WaitForStop(std::move(aOnStop));
  m_watch = std::make_unique<SettingsWatch>(
    m_context, m_reader, m_decisions, [&aControl](const DaemonSettings& aNew) {
      aControl.AddSeeds(aNew.m_client.m_seeds);
    });
  m_watch->Start();
  m_decisions.Write(DecisionEvent::Started, [&](DecisionLine& aLine) {
    aLine.Add("zone", m_settings.m_gateway.m_zone)
      .Add("listen", m_settings.m_gateway.m_listen.ToString())
      .Add("seeds",
           static_cast<std::int64_t>(m_settings.m_client.m_seeds.size()));
  });
  return true;
}

bool
ProcessFrame::Pause(Duration aPause)
{
  bool hasSignal = false;
  asio::steady_timer timer(
    m_context, std::chrono::duration_cast<std::chrono::milliseconds>(aPause));
  timer.async_wait([&](boost::system::error_code) { m_signals.cancel(); });
  m_signals.async_wait([&](boost::system::error_code aError, int) {
    hasSignal = !aError;
    timer.cancel();
  });
  m_context.run();
  m_context.restart();
  return !hasSignal;
}

void
ProcessFrame::WaitForStop(std::function<void()> aOnStop)
{
  m_signals.async_wait([this, onStop = std::move(aOnStop)](
                         boost::system::error_code aError, int aSignal) {
    if (aError) {
      return;
    }
    m_decisions.Write(DecisionEvent::Stopping, [&](DecisionLine& aLine) {
      aLine.Add("signal", aSignal);
    });
    onStop();
    // A second signal changes nothing.
    WaitForStop([] {});
  });
}

void
ProcessFrame::End()
{
  m_decisions.Write(DecisionEvent::Stopped, [](DecisionLine&) {});
  m_context.stop();
}

} // namespace parsleycove
