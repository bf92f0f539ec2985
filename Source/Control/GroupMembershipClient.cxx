// Keeps this VM's replica in the membership of the replica group.
#include "Control/GroupMembershipClient.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "Control/LineRepeater.h"
#include "Control/MembershipCheck.h"

namespace parsleycove {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kCallTimeoutMs{ 1500 };
// Interval of the log line for a fault that lasts.
constexpr std::chrono::seconds kFaultLineS{ 5 };

} // namespace

struct GroupMembershipClient::Impl : std::enable_shared_from_this<Impl>
{
  Impl(asio::io_context& aContext,
       ControlPort& aPort,
       feed::AddReplicaT aSelf,
       ControlLog aLog)
    : m_context(aContext)
    , m_port(aPort)
    , m_self(std::move(aSelf))
    , m_check(m_self.replica)
    , m_log(std::move(aLog))
    , m_timer(aContext)
  {
  }

  void ScheduleCheck(std::chrono::milliseconds aAfter)
  {
    m_timer.expires_after(aAfter);
    m_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& aError) {
        if (!aError && !self->m_closed) {
          self->Check();
        }
      });
  }

  // Called by the handlers of the ControlPort, which run on the port's thread.
  void PostScheduleCheck(std::chrono::milliseconds aAfter)
  {
    asio::post(m_context, [self = shared_from_this(), aAfter] {
      if (!self->m_closed) {
        self->ScheduleCheck(aAfter);
      }
    });
  }

  void Check()
  {
    m_port.ReadStatus(
      BootClock::now() + kCallTimeoutMs,
      [self = shared_from_this()](std::optional<feed::StatusReplyT> aStatus,
                                  const ControlReason& aReason) {
        const MembershipStep step =
          self->m_check.OnStatus(aStatus ? &*aStatus : nullptr, aReason);
        if (step.m_joins) {
          self->Join();
          return;
        }
        self->LogFault(step.m_fault);
        self->PostScheduleCheck(step.m_wait);
      });
  }

  // Logs a new fault, and a lasting one every kFaultLineS. m_faultLine needs no
  // lock, since one call of the port ends before the next one starts.
  void LogFault(const std::string& aFault)
  {
    if (m_faultLine.IsDue(BootClock::now(), aFault)) {
      m_log(ControlLogLevel::Warning, aFault);
    }
  }

  void Join()
  {
    m_port.AddReplica(m_self,
                      BootClock::now() + kCallTimeoutMs,
                      [self = shared_from_this()](
                        const auto& aReply, const ControlReason& aReason) {
                        const MembershipStep step = self->m_check.OnJoinReply(
                          aReply ? &*aReply : nullptr, aReason);
                        if (!step.m_fault.empty()) {
                          self->LogFault(step.m_fault);
                        }
                        self->PostScheduleCheck(step.m_wait);
                      });
  }

  asio::io_context& m_context;
  ControlPort& m_port;
  const feed::AddReplicaT m_self;
  const MembershipCheck m_check;
  const ControlLog m_log;
  LineRepeater m_faultLine{ kFaultLineS };
  asio::steady_timer m_timer;
  bool m_closed = false;
};

GroupMembershipClient::GroupMembershipClient(asio::io_context& aContext,
                                             ControlPort& aPort,
                                             feed::AddReplicaT aSelf,
                                             ControlLog aLog)
  : m_impl(std::make_shared<Impl>(aContext,
                                  aPort,
                                  std::move(aSelf),
                                  std::move(aLog)))
{
}

GroupMembershipClient::~GroupMembershipClient()
{
  m_impl->m_closed = true;
  m_impl->m_timer.cancel();
}

void
GroupMembershipClient::Start()
{
  m_impl->Check();
}

} // namespace parsleycove
