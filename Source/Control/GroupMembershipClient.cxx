// Keeps this VM's replica a member of the group.
#include "Control/GroupMembershipClient.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

namespace parsleycove {

namespace asio = boost::asio;

namespace {

// While this replica is missing from the group, or the group does not answer.
constexpr std::chrono::milliseconds kRetryIntervalMs{ 200 };
constexpr std::chrono::seconds kCheckIntervalS{ 2 };
constexpr std::chrono::milliseconds kCallTimeoutMs{ 1500 };

bool
IsListed(const feed::StatusReplyT& aStatus, std::uint64_t aReplica)
{
  return std::any_of(
    aStatus.replicas.begin(), aStatus.replicas.end(), [&](const auto& aRow) {
      return aRow->replica == aReplica;
    });
}

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

  // Handlers of the port run on its own thread.
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
        const bool known = aStatus && !aStatus->replicas.empty();
        if (known && IsListed(*aStatus, self->m_self.replica)) {
          self->m_lastFault.clear();
          self->PostScheduleCheck(kCheckIntervalS);
        } else if (known) {
          self->Join();
        } else {
          self->LogFault("the group does not tell its members: " +
                         aReason.m_text);
          self->PostScheduleCheck(kRetryIntervalMs);
        }
      });
  }

  // One line for the same fault in a row. The port ends one call before the
  // next one starts.
  void LogFault(std::string aFault)
  {
    if (aFault != m_lastFault) {
      m_lastFault = std::move(aFault);
      m_log(ControlLogLevel::Warning, m_lastFault);
    }
  }

  void Join()
  {
    m_port.AddReplica(
      m_self,
      BootClock::now() + kCallTimeoutMs,
      [self = shared_from_this()](const auto& aReply,
                                  const ControlReason& aReason) {
        if (!aReply || !aReply->ok) {
          self->LogFault("the group does not add this "
                         "replica: " +
                         (aReply ? aReply->text : aReason.m_text));
        }
        self->PostScheduleCheck(kRetryIntervalMs);
      });
  }

  asio::io_context& m_context;
  ControlPort& m_port;
  const feed::AddReplicaT m_self;
  const ControlLog m_log;
  std::string m_lastFault;
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
