// One TCP connection that carries frames, with heartbeats in both directions.
#include "Wire/FrameLink.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "Wire/FrameLinkChannel.h"

namespace parsleycove {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxFramesPerWrite = 64;

Frame::Pointer
HeartbeatFrame()
{
  static const Frame::Pointer kFrame(new Frame(FrameKind::Heartbeat, {}));
  return kFrame;
}

} // namespace

FrameLink::FrameLink(std::unique_ptr<Channel> aChannel,
                     FrameLinkOptions aOptions)
  : m_options(aOptions)
  , m_channel(std::move(aChannel))
  , m_lastReceived(BootClock::now())
{
}

FrameLink::~FrameLink() = default;

FrameLink::Pointer
FrameLink::Connect(asio::io_context& aContext,
                   const SocketAddress& aAddress,
                   const FrameLinkOptions& aOptions,
                   FrameLinkListener& aListener)
{
  Pointer link(
    new FrameLink(std::make_unique<Channel>(asio::ip::tcp::socket(aContext),
                                            aOptions.m_maxFrameBytes),
                  aOptions));
  link->m_listener = &aListener;
  link->m_peerName = aAddress.ToString();
  error_code error;
  const auto address = asio::ip::make_address(aAddress.m_address, error);
  if (error) {
    link->Fail(WireError::BadAddress,
               "address " + aAddress.ToString() + ": expected an IP number");
    return link;
  }
  link->ScheduleHeartbeat();
  link->m_channel->m_socket.async_connect(
    { address, aAddress.m_port }, [link](const error_code& aError) {
      if (aError) {
        link->Fail(WireError::CannotConnect,
                   link->m_peerName + ": " + aError.message());
        return;
      }
      link->HandleConnected();
    });
  return link;
}

void
FrameLink::Start(FrameLinkListener& aListener)
{
  m_listener = &aListener;
  error_code error;
  const auto remote = m_channel->m_socket.remote_endpoint(error);
  if (!error) {
    m_peerName =
      SocketAddress{ remote.address().to_string(), remote.port() }.ToString();
  }
  ScheduleHeartbeat();
  HandleConnected();
}

void
FrameLink::HandleConnected()
{
  if (m_shut) {
    return;
  }
  error_code ignored;
  m_channel->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  m_open = true;
  m_lastReceived = BootClock::now();
  Read();
  Write();
  if (m_listener != nullptr) {
    m_listener->OnOpen(*this);
  }
}

void
FrameLink::Read()
{
  m_channel->m_socket.async_read_some(
    asio::buffer(m_channel->m_received),
    [link = Pointer(this)](const error_code& aError, std::size_t aSize) {
      if (aError) {
        link->Fail(WireError::Disconnected,
                   link->m_peerName + ": " + aError.message());
        return;
      }
      link->HandleRead(aSize);
    });
}

void
FrameLink::HandleRead(std::size_t aSize)
{
  if (m_shut) {
    return;
  }
  m_lastReceived = BootClock::now();
  if (m_options.m_traffic != nullptr) {
    m_options.m_traffic->m_receivedBytes += aSize;
  }
  m_channel->m_reader.Append({ m_channel->m_received.data(), aSize });
  DeliverFrames();
  if (!m_shut) {
    Read();
  }
}

void
FrameLink::DeliverFrames()
{
  FrameReader& reader = m_channel->m_reader;
  while (!m_shut) {
    const auto frame = reader.Next();
    if (!frame) {
      break;
    }
    if (frame->m_kind != FrameKind::Heartbeat && m_listener != nullptr) {
      m_listener->OnFrame(*this, *frame);
    }
  }
  if (!m_shut && reader.HasFailed()) {
    const WireReason& reason = reader.LastReason();
    Fail(reason.m_code, m_peerName + ": " + reason.m_text);
  }
}

void
FrameLink::Send(Frame::Pointer aFrame)
{
  if (m_shut) {
    return;
  }
  const std::size_t size = aFrame->Bytes().size();
  // One frame always fits, so that the limit never blocks a large image.
  if (!m_channel->m_queue.empty() &&
      m_channel->m_queuedBytes + size > m_options.m_maxQueueBytes) {
    Fail(WireError::QueueFull,
         m_peerName + ": reads too slowly, " +
           std::to_string(m_channel->m_queuedBytes) + " bytes are queued");
    return;
  }
  m_channel->m_queue.push_back(std::move(aFrame));
  m_channel->m_queuedBytes += size;
  if (m_open) {
    Write();
  }
}

std::size_t
FrameLink::CountQueuedBytes() const
{
  return m_shut ? 0 : m_channel->m_queuedBytes;
}

void
FrameLink::Write()
{
  if (m_shut || m_channel->m_writing != 0 || m_channel->m_queue.empty()) {
    return;
  }
  m_channel->m_writing =
    std::min(m_channel->m_queue.size(), kMaxFramesPerWrite);
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(m_channel->m_writing);
  for (std::size_t i = 0; i < m_channel->m_writing; ++i) {
    buffers.emplace_back(asio::buffer(m_channel->m_queue[i]->Bytes()));
  }
  m_sentSinceHeartbeat = true;
  asio::async_write(
    m_channel->m_socket,
    buffers,
    [link = Pointer(this)](const error_code& aError, std::size_t aSize) {
      if (aError) {
        link->Fail(WireError::Disconnected,
                   link->m_peerName + ": " + aError.message());
        return;
      }
      link->HandleWritten(aSize);
    });
}

void
FrameLink::HandleWritten(std::size_t aSize)
{
  if (m_shut) {
    return;
  }
  auto& queue = m_channel->m_queue;
  queue.erase(queue.begin(),
              queue.begin() +
                static_cast<std::ptrdiff_t>(m_channel->m_writing));
  m_channel->m_writing = 0;
  m_channel->m_queuedBytes -= aSize;
  if (m_options.m_traffic != nullptr) {
    m_options.m_traffic->m_sentBytes += aSize;
  }
  Write();
}

void
FrameLink::ScheduleHeartbeat()
{
  m_heartbeatAt = BootClock::now() + m_options.m_heartbeatInterval;
  m_channel->m_timer.expires_after(
    std::chrono::duration_cast<asio::steady_timer::duration>(
      m_options.m_heartbeatInterval));
  m_channel->m_timer.async_wait(
    [link = Pointer(this)](const error_code& aError) {
      if (!aError) {
        link->HandleHeartbeat();
      }
    });
}

void
FrameLink::HandleHeartbeat()
{
  if (m_shut) {
    return;
  }
  const TimePoint now = BootClock::now();
  // After a pause of this process the peer's words may wait in the socket.
  const bool paused = now > m_heartbeatAt + m_options.m_heartbeatInterval;
  if (!paused && now - m_lastReceived >= m_options.m_silenceLimit) {
    Fail(WireError::Silent, m_peerName + ": nothing received for too long");
    return;
  }
  if (m_open && !m_sentSinceHeartbeat) {
    Send(HeartbeatFrame());
  }
  m_sentSinceHeartbeat = false;
  if (!m_shut) {
    ScheduleHeartbeat();
  }
}

void
FrameLink::Fail(WireError aError, std::string aText)
{
  if (m_shut) {
    return;
  }
  Shut();
  WireReason reason;
  reason.Set(aError, std::move(aText));
  // Never from inside a call that the listener itself makes.
  asio::post(m_channel->m_timer.get_executor(),
             [link = Pointer(this), reason = std::move(reason)] {
               link->ReportClosed(reason);
             });
}

void
FrameLink::ReportClosed(const WireReason& aReason)
{
  if (FrameLinkListener* listener = std::exchange(m_listener, nullptr)) {
    listener->OnClosed(*this, aReason);
  }
}

void
FrameLink::Close()
{
  m_listener = nullptr;
  Shut();
}

void
FrameLink::Shut()
{
  if (std::exchange(m_shut, true)) {
    return;
  }
  m_open = false;
  error_code ignored;
  m_channel->m_timer.cancel();
  m_channel->m_socket.close(ignored);
}

} // namespace parsleycove
