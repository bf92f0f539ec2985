// What roles entry and control have in common: log, metrics, signals.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "Control/ControlClient.h"
#include "Daemon/DaemonSettings.h"
#include "Daemon/SettingsWatch.h"
#include "Forwarding/HttpService.h"
#include "Telemetry/DecisionLog.h"
#include "Telemetry/MetricRegistry.h"
#include "Wire/EventLoop.h"

namespace parsleycove {

// One thread runs the context; the control client has one of its own.
class ProcessFrame
{
public:
  ProcessFrame(const DaemonSettings& aSettings, const SettingReader& aReader);

  // Opens the metrics page, follows the settings file and waits for signals.
  // False with the reason when an address cannot be taken.
  bool Start(ControlClient& aControl,
             std::function<void()> aOnStop,
             std::string& aReason);
  // Waits, before Start; returns false as soon as a signal asks for a stop.
  bool Pause(Duration aPause);
  void Run() { m_context.run(); }
  // Ends the requests and calls that Run() has left.
  void DropOperations() { m_context.DropOperations(); }
  void End();

  asio::io_context& Context() { return m_context; }
  DecisionLog& Decisions() { return m_decisions; }
  MetricRegistry& Metrics() { return m_metrics; }

private:
  void WaitForStop(std::function<void()> aOnStop);

  const DaemonSettings& m_settings;
  EventLoop m_context{ 1 };
  StandardOutputSink m_sink;
  DecisionLog m_decisions;
  MetricRegistry m_metrics;
  asio::signal_set m_signals;
  HttpService m_metricsPage;
  SettingReader m_reader;
  std::unique_ptr<SettingsWatch> m_watch;
};

// Drops what the process has left undone when its scope ends, before anything
// that was declared earlier, and that requests and calls refer to, is
// destroyed.
class OperationDropper
{
public:
  // aEndThreads ends all other threads that post to the frame's context.
  OperationDropper(ProcessFrame& aFrame, std::function<void()> aEndThreads)
    : m_frame(aFrame)
    , m_endThreads(std::move(aEndThreads))
  {
  }
  ~OperationDropper()
  {
    m_endThreads();
    m_frame.DropOperations();
  }
  OperationDropper(const OperationDropper&) = delete;
  OperationDropper& operator=(const OperationDropper&) = delete;

private:
  ProcessFrame& m_frame;
  const std::function<void()> m_endThreads;
};

} // namespace parsleycove
