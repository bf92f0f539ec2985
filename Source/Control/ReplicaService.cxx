// Runs a control replica on its own thread: log, store, state machine, peer
// links and gateway feeds.
#include "Control/ReplicaService.h"

#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "Control/ReplicaNode.h"

namespace parsleycove {

namespace asio = boost::asio;

// Owns the ReplicaNode and the thread that runs its io_context.
class ReplicaService::Thread
{
public:
  explicit Thread(const ReplicaServiceOptions& aOptions)
    : m_node(std::make_unique<ReplicaNode>(m_context, aOptions))
  {
  }
  ~Thread() { Stop(); }
  Thread(const Thread&) = delete;
  Thread& operator=(const Thread&) = delete;

  bool Open(ControlServiceReason& aReason)
  {
    if (!m_node->Open(aReason)) {
      return false;
    }
    m_thread = std::thread([this] { m_context.run(); });
    return true;
  }

  void Stop()
  {
    if (!m_thread.joinable()) {
      return;
    }
    asio::post(m_context, [this] {
      m_node->Close();
      m_context.stop();
    });
    m_thread.join();
  }

  const ReplicaNode& Node() const { return *m_node; }

private:
  asio::io_context m_context{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> m_work{
    m_context.get_executor()
  };
  std::unique_ptr<ReplicaNode> m_node;
  std::thread m_thread;
};

ReplicaService::ReplicaService(std::unique_ptr<Thread> aThread)
  : m_thread(std::move(aThread))
{
}

ReplicaService::~ReplicaService() = default;

std::unique_ptr<ReplicaService>
ReplicaService::Start(const ReplicaServiceOptions& aOptions,
                      ControlServiceReason& aReason)
{
  if (aOptions.m_replica == 0 || aOptions.m_cluster == 0) {
    aReason.Set(ControlServiceError::BadOption,
                "replica and cluster: expected numbers above 0");
    return nullptr;
  }
  if (aOptions.m_leaderLease >= aOptions.m_electionTimeout) {
    aReason.Set(ControlServiceError::BadOption,
                "leader lease: expected less than the election time-out");
    return nullptr;
  }
  auto thread = std::make_unique<Thread>(aOptions);
  if (!thread->Open(aReason)) {
    return nullptr;
  }
  return std::unique_ptr<ReplicaService>(new ReplicaService(std::move(thread)));
}

void
ReplicaService::Stop()
{
  m_thread->Stop();
}

bool
ReplicaService::IsLeader() const
{
  return m_thread->Node().IsLeader();
}

std::uint64_t
ReplicaService::LedTerm() const
{
  return m_thread->Node().LedTerm();
}

std::uint64_t
ReplicaService::AppliedIndex() const
{
  return m_thread->Node().PublishedApplied();
}

const GroupGauges&
ReplicaService::Gauges() const
{
  return m_thread->Node().Gauges();
}

const ByteGauges&
ReplicaService::Bytes() const
{
  return m_thread->Node().Bytes();
}

} // namespace parsleycove
