// A gateway's access to the replicated state through a feed from one replica.
#include "Control/ControlClient.h"

#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include "Control/ClientNode.h"

namespace parsleycove {

namespace asio = boost::asio;

// The thread that runs the io_context of the ClientNode.
class ControlClient::Thread
{
public:
  explicit Thread(const ControlClientOptions& aOptions)
    : m_node(m_context, aOptions)
    , m_thread([this] {
      m_node.Start();
      m_context.run();
    })
  {
  }
  ~Thread() { Stop(); }
  void Stop()
  {
    if (!m_thread.joinable()) {
      return;
    }
    asio::post(m_context, [this] {
      m_node.Close();
      m_work.reset();
    });
    m_thread.join();
  }
  Thread(const Thread&) = delete;
  Thread& operator=(const Thread&) = delete;

  template<typename Work>
  void Post(Work aWork)
  {
    asio::post(m_context, std::move(aWork));
  }

  ClientNode& Node() { return m_node; }

private:
  asio::io_context m_context{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> m_work{
    m_context.get_executor()
  };
  ClientNode m_node;
  std::thread m_thread;
};

ControlClient::ControlClient(const ControlClientOptions& aOptions)
  : m_thread(std::make_unique<Thread>(aOptions))
{
}

ControlClient::~ControlClient() = default;

void
ControlClient::Stop()
{
  m_thread->Stop();
}

void
ControlClient::Propose(state::CommandT aCommand,
                       TimePoint aDeadline,
                       ProposeHandler aHandler)
{
  feed::ProposeT body;
  body.command = std::make_unique<state::CommandT>(std::move(aCommand));
  m_thread->Post([node = &m_thread->Node(),
                  body = std::move(body),
                  aDeadline,
                  handler = std::move(aHandler)]() mutable {
    node->Call(
      std::move(body),
      CallTarget::Leader,
      aDeadline,
      [handler = std::move(handler)](const feed::FeedBodyUnion* aAnswer,
                                     const ControlReason& aReason) {
        if (aAnswer == nullptr) {
          handler(std::nullopt, aReason);
        } else {
          handler(*aAnswer->AsProposeReply()->result, {});
        }
      });
  });
}

void
ControlClient::ReadAction(std::string aAccount,
                          std::string aKey,
                          TimePoint aDeadline,
                          ReadActionHandler aHandler)
{
  feed::ReadActionT body;
  body.account = std::move(aAccount);
  body.key = std::move(aKey);
  m_thread->Post([node = &m_thread->Node(),
                  body = std::move(body),
                  aDeadline,
                  handler = std::move(aHandler)]() mutable {
    node->Call(
      std::move(body),
      CallTarget::Feed,
      aDeadline,
      [handler = std::move(handler)](const feed::FeedBodyUnion* aAnswer,
                                     const ControlReason& aReason) {
        const auto* reply =
          aAnswer == nullptr ? nullptr : aAnswer->AsReadActionReply();
        if (reply == nullptr || !reply->record) {
          handler(std::nullopt, aReason);
        } else {
          handler(*reply->record, {});
        }
      });
  });
}

void
ControlClient::ConfirmView(TimePoint aDeadline, ConfirmHandler aHandler)
{
  m_thread->Post([node = &m_thread->Node(),
                  aDeadline,
                  handler = std::move(aHandler)]() mutable {
    node->Call(
      feed::ConfirmReadT{},
      CallTarget::Feed,
      aDeadline,
      [handler = std::move(handler)](const feed::FeedBodyUnion* aAnswer,
                                     const ControlReason& aReason) {
        handler(aAnswer != nullptr, aReason);
      });
  });
}

void
ControlClient::ReadStatus(TimePoint aDeadline, StatusHandler aHandler)
{
  m_thread->Post([node = &m_thread->Node(),
                  aDeadline,
                  handler = std::move(aHandler)]() mutable {
    node->Call(
      feed::StatusRequestT{},
      CallTarget::Leader,
      aDeadline,
      [handler = std::move(handler)](const feed::FeedBodyUnion* aAnswer,
                                     const ControlReason& aReason) {
        if (aAnswer == nullptr) {
          handler(std::nullopt, aReason);
        } else {
          handler(feed::StatusReplyT(*aAnswer->AsStatusReply()), {});
        }
      });
  });
}

namespace {

PendingCall::Handler
WrapAdminHandler(ControlPort::AdminHandler aHandler)
{
  return [handler = std::move(aHandler)](const feed::FeedBodyUnion* aAnswer,
                                         const ControlReason& aReason) {
    if (aAnswer == nullptr) {
      handler(std::nullopt, aReason);
    } else {
      handler(*aAnswer->AsAdminReply(), {});
    }
  };
}

} // namespace

void
ControlClient::AddReplica(feed::AddReplicaT aRequest,
                          TimePoint aDeadline,
                          AdminHandler aHandler)
{
  m_thread->Post([node = &m_thread->Node(),
                  request = std::move(aRequest),
                  aDeadline,
                  handler = std::move(aHandler)]() mutable {
    node->Call(std::move(request),
               CallTarget::Leader,
               aDeadline,
               WrapAdminHandler(std::move(handler)));
  });
}

void
ControlClient::RemoveReplica(std::uint64_t aReplica,
                             TimePoint aDeadline,
                             AdminHandler aHandler)
{
  feed::RemoveReplicaT request;
  request.replica = aReplica;
  m_thread->Post([node = &m_thread->Node(),
                  request,
                  aDeadline,
                  handler = std::move(aHandler)]() mutable {
    node->Call(request,
               CallTarget::Leader,
               aDeadline,
               WrapAdminHandler(std::move(handler)));
  });
}

boost::intrusive_ptr<const ClusterView>
ControlClient::View() const
{
  return m_thread->Node().View().Read();
}

bool
ControlClient::HasLease(TimePoint aNow) const
{
  return m_thread->Node().View().HasLease(aNow);
}

std::uint64_t
ControlClient::InForceIndex() const
{
  return m_thread->Node().View().InForceIndex();
}

std::uint32_t
ControlClient::GatewayCount() const
{
  return m_thread->Node().View().GatewayCount(BootClock::now());
}

void
ControlClient::AddSeeds(std::vector<SocketAddress> aSeeds)
{
  m_thread->Post([node = &m_thread->Node(), seeds = std::move(aSeeds)] {
    node->AddSeeds(seeds);
  });
}

void
ControlClient::RenewEndpoint(const std::string& aId, std::uint64_t aIncarnation)
{
  state::EndpointRefT reference;
  reference.id = aId;
  reference.incarnation = aIncarnation;
  m_thread->Post(
    [node = &m_thread->Node(), reference] { node->RenewEndpoint(reference); });
}

void
ControlClient::AnnounceStopping()
{
  m_thread->Post([node = &m_thread->Node()] { node->AnnounceStopping(); });
}

} // namespace parsleycove
