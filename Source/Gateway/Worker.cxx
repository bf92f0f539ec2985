// One event loop with what its requests share.
#include "Gateway/Worker.h"

#include <boost/asio/executor_work_guard.hpp>

#include "Gateway/GatewayServices.h"
#include "Gateway/StepChannel.h"
#include "Routing/ExpectedCompletionPlanner.h"

namespace parsleycove {

namespace {

// Retries and hedges are at most this share of the successful calls, beyond a
// reserve for quiet times.
constexpr double kRetryShare = 0.1;
constexpr double kRetryReserve = 10;

// Workers and VMs must not draw the same numbers, or they would all choose the
// same runner.
std::uint64_t
MakeSeed(const GatewayOptions& aOptions, std::size_t aIndex)
{
  return HashId(aOptions.m_vm) ^ (aOptions.m_epoch << 8) ^ aIndex;
}

} // namespace

Worker::Worker(const GatewayServices& aServices, std::size_t aIndex)
  : m_index(aIndex)
  , m_context(1)
  , m_endpoints(m_context.get_executor())
  , m_planner(std::make_unique<ExpectedCompletionPlanner>(
      PlannerSettings{},
      MakeSeed(aServices.m_options, aIndex)))
  , m_picker(MakeSeed(aServices.m_options, aIndex) + 1)
  , m_retries(kRetryShare,
              kRetryReserve,
              MakeSeed(aServices.m_options, aIndex) + 2)
  , m_admission(m_context.get_executor())
  , m_latency(
      aServices.m_metrics.AddHistogram("parsleycove_request_seconds", ""))
{
  for (std::size_t i = 0; i < kStatusClasses; ++i) {
    const std::string label = "status=\"" + std::to_string(i) + "xx\"";
    m_answers[i] =
      &aServices.m_metrics.AddCounter("parsleycove_requests_total", label);
  }
}

Worker::~Worker()
{
  Stop();
  Join();
}

void
Worker::Start()
{
  m_thread = std::thread([this] {
    const auto guard = asio::make_work_guard(m_context);
    m_context.run();
  });
}

void
Worker::Stop()
{
  m_context.stop();
}

void
Worker::Join()
{
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

StepChannel&
Worker::StepsTo(const SocketAddress& aAddress)
{
  std::unique_ptr<StepChannel>& channel = m_channels[aAddress.ToString()];
  if (!channel) {
    channel = std::make_unique<StepChannel>(
      m_context.get_executor(), m_endpoints, aAddress);
  }
  return *channel;
}

void
Worker::CountAnswer(unsigned aStatus, Duration aSpent)
{
  constexpr unsigned kHundred = 100;
  const unsigned statusClass = aStatus / kHundred;
  if (statusClass < kStatusClasses) {
    ++*m_answers[statusClass];
  }
  m_latency.Record(aSpent);
}

} // namespace parsleycove
