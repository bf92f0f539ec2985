// Sends one request to one endpoint and reads its answer.
#include "Forwarding/EndpointCall.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "Wire/KeepAlive.h"

namespace parsleycove {

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBytes = 16UL * 1024;
// Idle limit of connections to an endpoint that does not send a limit.
constexpr std::chrono::seconds kDefaultIdle{ 30 };
// Idle connections are closed this long before the endpoint would close them.
constexpr Duration kIdleMargin = std::chrono::milliseconds(500);
// A call whose request may not move yet asks again after this time.
constexpr Duration kMoveClaimInterval = std::chrono::milliseconds(20);

} // namespace

EndpointCall::EndpointCall(const asio::any_io_executor& aExecutor,
                           ConnectionPool& aPool,
                           RunnerPtr aRunner,
                           StagePathPtr aPath,
                           CallInfo aInfo)
  : m_pool(aPool)
  , m_runner(std::move(aRunner))
  , m_info(std::move(aInfo))
  , m_path(std::move(aPath))
  , m_reservation(m_path, m_info.m_tokens, m_info.m_promptTokens)
  , m_connection(std::make_unique<EndpointConnection>(aExecutor))
{
  m_runner->m_load->AddStream();
}

EndpointCall::~EndpointCall()
{
  m_runner->m_load->RemoveStream();
}

void
EndpointCall::SetPath(StagePathPtr aPath)
{
  m_path = std::move(aPath);
  m_reservation = PathReservation(m_path, m_info.m_tokens);
  // The new engines run the prefill first; the silence so far was caused by the
  // engines of the old path.
  const bool hasProgress = HasProgress();
  m_progressAt = BootClock::now();
  if (!hasProgress) {
    m_sentAt = m_progressAt;
  }
}

void
EndpointCall::CountAnswer(std::shared_ptr<ReceiveBudget> aBudget,
                          std::function<void()> aOnRefused)
{
  m_answer.Count(std::move(aBudget), [this, onRefused = std::move(aOnRefused)] {
    Abort(CallEnd::OverBudget);
    onRefused();
    if (const auto free = std::exchange(m_onRefused, nullptr)) {
      free();
    }
  });
}

bool
EndpointCall::Hold(std::size_t aBodyBytes)
{
  return m_answer.Hold(aBodyBytes + m_connection->m_buffer.size());
}

bool
EndpointCall::Fail(CallEnd aWhy)
{
  if (m_end == CallEnd::None) {
    m_end = aWhy;
  }
  return false;
}

void
EndpointCall::Abort(CallEnd aWhy)
{
  Fail(aWhy);
  if (m_connection) {
    beast::error_code ignored;
    m_connection->m_socket.close(ignored);
  }
}

void
EndpointCall::Suspend(CallEnd aWhy)
{
  if (m_end != CallEnd::None) {
    return;
  }
  m_end = aWhy;
  m_isSuspended = true;
  m_cancelRead.emit(asio::cancellation_type::total);
}

bool
EndpointCall::IsSuspended() const
{
  return m_isSuspended && m_connection && m_connection->m_socket.is_open();
}

bool
EndpointCall::Resume()
{
  if (!IsSuspended()) {
    return false;
  }
  m_isSuspended = false;
  m_end = CallEnd::None;
  return true;
}

void
EndpointCall::SetDeadlines(TimePoint aMoveAfter, TimePoint aDeadline)
{
  m_finalDeadline = aDeadline;
  SetDeadline(std::min(aMoveAfter, aDeadline));
}

void
EndpointCall::OnDeadline(TimePoint aNow)
{
  if (aNow >= m_finalDeadline) {
    Abort(CallEnd::Overdue);
  } else if (ClaimMove()) {
    Suspend(CallEnd::Overdue);
  } else {
    SetDeadline(std::min(aNow + kMoveClaimInterval, m_finalDeadline));
  }
}

void
EndpointCall::LimitDeadline(TimePoint aLatest)
{
  MonitoredWait::LimitDeadline(aLatest);
  m_finalDeadline = std::min(m_finalDeadline, aLatest);
}

asio::awaitable<bool>
EndpointCall::Connect(Duration aTimeout)
{
  const TimePoint now = BootClock::now();
  if (EndpointConnectionPtr idle =
        m_pool.TakeIdle(*m_runner, m_info.m_attemptId, now)) {
    m_connection = std::move(idle);
    co_return true;
  }
  m_isNew = true;
  beast::error_code invalid;
  const auto ip =
    asio::ip::make_address(m_runner->m_address.m_address, invalid);
  SetDeadline(now + aTimeout);
  Tcp::socket& socket = m_connection->m_socket;
  const auto [error] = co_await socket.async_connect(
    Tcp::endpoint(ip, m_runner->m_address.m_port), kAwait);
  ClearDeadline();
  if (error || invalid || m_end != CallEnd::None) {
    m_connectTimedOut = m_end == CallEnd::Overdue;
    if (m_end != CallEnd::CallerGone) {
      m_end = CallEnd::NotConnected;
    }
    co_return false;
  }
  beast::error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  co_return true;
}

void
EndpointCall::Send(std::string aHeader, std::string_view aBody)
{
  m_header = std::move(aHeader);
  m_body = aBody;
  m_sent = true;
  m_sentAt = BootClock::now();
  m_progressAt = m_sentAt;
  m_answer.Start();
  const std::array<asio::const_buffer, 2> buffers{ asio::buffer(m_header),
                                                   asio::buffer(m_body) };
  asio::async_write(
    m_connection->m_socket,
    buffers,
    [self = shared_from_this()](const beast::error_code& aError, std::size_t) {
      if (aError == asio::error::operation_aborted) {
        self->m_sendState = SendState::Stopped;
      } else {
        self->m_sendState = aError ? SendState::Failed : SendState::Sent;
      }
    });
}

asio::awaitable<bool>
EndpointCall::ReadMore()
{
  // The call may have ended while nothing was being read.
  if (m_end != CallEnd::None) {
    co_return false;
  }
  beast::flat_buffer& buffer = m_connection->m_buffer;
  const auto [error, bytes] = co_await m_connection->m_socket.async_read_some(
    buffer.prepare(kReadBytes),
    asio::bind_cancellation_slot(m_cancelRead.slot(), kAwait));
  buffer.commit(bytes);
  if (error == asio::error::eof) {
    m_atEnd = true;
  } else if (error && (error != asio::error::operation_aborted ||
                       m_end == CallEnd::None)) {
    // Also if the call was suspended: its next read would just find the end.
    Abort(CallEnd::Broken);
  }
  co_return m_end == CallEnd::None;
}

void
EndpointCall::RecordEvents(TimePoint aNow)
{
  if (HasProgress()) {
    constexpr int kWeight = 4;
    m_averageArrivalGap +=
      (aNow - m_progressAt - m_averageArrivalGap) / kWeight;
    if (m_path) {
      m_runner->m_load->RecordEventGap(aNow, aNow - m_progressAt);
    }
  }
  m_progressAt = aNow;
}

asio::awaitable<bool>
EndpointCall::ReadHeader()
{
  for (;;) {
    const AnswerStep step = m_answer.TakeHeader(m_connection->m_buffer);
    if (step == AnswerStep::Malformed) {
      co_return Fail(CallEnd::Broken);
    }
    if (step == AnswerStep::Whole) {
      co_return true;
    }
    if (!co_await ReadMore()) {
      co_return false;
    }
    if (m_atEnd) {
      co_return Fail(CallEnd::Broken);
    }
    if (!Hold(0)) {
      co_return false;
    }
  }
}

asio::awaitable<bool>
EndpointCall::IsOrderlyEnd()
{
  if (!m_answer.NeedsEnd()) {
    co_return true;
  }
  // The write may have failed, but not been completed. Nobody needs the rest
  // of the request any more.
  while (m_sendState == SendState::Sending) {
    beast::error_code ignored;
    m_connection->m_socket.cancel(ignored);
    co_await asio::post(m_connection->m_socket.get_executor(),
                        asio::use_awaitable);
  }
  co_return m_sendState != SendState::Failed;
}

asio::awaitable<bool>
EndpointCall::ReadBody(std::string& aOut)
{
  beast::flat_buffer& buffer = m_connection->m_buffer;
  const std::size_t before = aOut.size();
  for (;;) {
    const AnswerStep step = m_answer.TakeBody(buffer, aOut);
    if (step == AnswerStep::Malformed) {
      co_return Fail(CallEnd::Broken);
    }
    if (!Hold(aOut.capacity())) {
      co_return false;
    }
    if (step == AnswerStep::Whole || aOut.size() != before) {
      co_return aOut.size() != before;
    }
    if (m_atEnd) {
      const bool isWhole = co_await IsOrderlyEnd();
      if (m_end != CallEnd::None) {
        co_return false;
      }
      if (m_answer.TakeEnd() != AnswerStep::Whole || !isWhole) {
        Fail(CallEnd::Broken);
      }
      co_return false;
    }
    if (EndpointAnswer::IsLineTooLong(buffer)) {
      co_return Fail(CallEnd::Broken);
    }
    if (!co_await ReadMore()) {
      co_return false;
    }
  }
}

void
EndpointCall::RecordRefusal()
{
  if (m_connection) {
    m_connection->m_refusedAttempts.push_back(m_info.m_attemptId);
  }
}

void
EndpointCall::DropAnswer()
{
  if (m_connection) {
    beast::error_code ignored;
    m_connection->m_socket.close(ignored);
    m_connection->m_buffer.clear();
    m_connection->m_buffer.shrink_to_fit();
  }
  m_answer.Release();
}

bool
EndpointCall::SkipAnswer()
{
  m_answer.Start();
  return true;
}

void
EndpointCall::Release(TimePoint aNow)
{
  ClearDeadline();
  m_answer.Release();
  const bool isWhole = m_end == CallEnd::None && m_answer.IsWhole() &&
                       !m_answer.NeedsEnd() && !m_atEnd &&
                       m_sendState == SendState::Sent;
  const bool isClean =
    isWhole && m_connection->m_buffer.size() == 0 && m_answer.KeepsConnection();
  if (!isClean) {
    beast::error_code ignored;
    m_connection->m_socket.close(ignored);
    return;
  }
  const Duration idle =
    ReadIdleLimit(Answer()[http::field::keep_alive]).value_or(kDefaultIdle) -
    kIdleMargin;
  if (m_connection->m_buffer.capacity() > kReadBytes) {
    m_connection->m_buffer.shrink_to_fit();
  }
  m_pool.AddIdle(*m_runner, std::move(m_connection), aNow, idle);
}

} // namespace parsleycove
