// One event loop with what its requests share.
#include "Gateway/Worker.h"

#include <boost/asio/executor_work_guard.hpp>

#include "Gateway/GatewayServices.h"
#include "Gateway/StepChannel.h"

namespace parsleycove {

Worker::Worker(const GatewayServices& aServices, std::size_t aIndex)
  : m_index(aIndex)
  , m_context(1)
  , m_endpoints(m_context.get_executor())
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
