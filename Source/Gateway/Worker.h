// One event loop with what its requests share.
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include "Base/Clock.h"
#include "Forwarding/EndpointClient.h"
#include "Gateway/AdmissionGate.h"
#include "Routing/RetryBudget.h"
#include "Routing/ServicePicker.h"
#include "Telemetry/MetricRegistry.h"

namespace parsleycove {

class ChainPlanner;
class StepChannel;
struct GatewayServices;

// A thread of the gateway. A request lives on one worker from its first byte
// to its last; what is here is touched by that worker's thread only.
class Worker
{
public:
  Worker(const GatewayServices& aServices, std::size_t aIndex);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  void Start();
  // Ends the event loop; safe from any thread.
  void Stop();
  void Join();

  asio::io_context& Context() { return m_context; }
  std::size_t Index() const { return m_index; }
  EndpointClient& Endpoints() { return m_endpoints; }
  // The channel for pipeline steps to one address.
  StepChannel& StepsTo(const SocketAddress& aAddress);

  ChainPlanner& Planner() { return *m_planner; }
  ServicePicker& Picker() { return m_picker; }
  RetryBudget& Retries() { return m_retries; }
  AdmissionGate& Admission() { return m_admission; }

  void CountAnswer(unsigned aStatus, Duration aSpent);

private:
  static constexpr std::size_t kStatusClasses = 6;

  const std::size_t m_index;
  asio::io_context m_context;
  EndpointClient m_endpoints;
  std::unordered_map<std::string, std::unique_ptr<StepChannel>> m_channels;
  std::unique_ptr<ChainPlanner> m_planner;
  ServicePicker m_picker;
  RetryBudget m_retries;
  AdmissionGate m_admission;
  std::array<Counter*, kStatusClasses> m_answers{};
  LatencyHistogram& m_latency;
  std::thread m_thread;
};

} // namespace parsleycove
