// One TCP connection that carries frames, with heartbeats in both directions.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "Base/Clock.h"
#include "Base/SocketAddress.h"
#include "Wire/FrameReader.h"
#include "Wire/LinkTraffic.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace parsleycove {

class FrameLink;

struct FrameLinkOptions
{
  std::size_t m_maxFrameBytes = 64UL * 1024 * 1024;
  // A link whose peer reads too slowly to stay below this is closed.
  std::size_t m_maxQueueBytes = 16UL * 1024 * 1024;
  Duration m_heartbeatInterval = std::chrono::milliseconds(500);
  // A link that receives nothing for this long is dead.
  Duration m_silenceLimit = std::chrono::seconds(2);
  // Counts this link's bytes too, unless null; outlives the link.
  LinkTraffic* m_traffic = nullptr;
};

// Receives what happens on a link, on the thread of its io_context.
class FrameLinkListener
{
public:
  virtual ~FrameLinkListener() = default;
  virtual void OnOpen(FrameLink& aLink) = 0;
  virtual void OnFrame(FrameLink& aLink, const ReceivedFrame& aFrame) = 0;
  // The last call for this link. Not made after the owner's own Close.
  virtual void OnClosed(FrameLink& aLink, const WireReason& aReason) = 0;
};

// A connection to one other process. Used by one thread only.
class FrameLink : public boost::intrusive_ref_counter<FrameLink>
{
public:
  using Pointer = boost::intrusive_ptr<FrameLink>;
  // Socket, timer and buffers, kept out of this header with Asio.
  struct Channel;

  FrameLink(std::unique_ptr<Channel> aChannel, FrameLinkOptions aOptions);
  ~FrameLink();
  FrameLink(const FrameLink&) = delete;
  FrameLink& operator=(const FrameLink&) = delete;

  // Opens a link; frames sent before it is open wait in its queue.
  static Pointer Connect(boost::asio::io_context& aContext,
                         const SocketAddress& aAddress,
                         const FrameLinkOptions& aOptions,
                         FrameLinkListener& aListener);
  // Begins to work on an accepted connection.
  void Start(FrameLinkListener& aListener);

  void Send(Frame::Pointer aFrame);
  // Closes without a call of OnClosed; the listener may be gone afterwards.
  void Close();
  bool IsOpen() const { return m_open; }
  // Bytes of the frames that are not written yet.
  std::size_t CountQueuedBytes() const;
  // Number and port of the other end, for messages to people.
  const std::string& PeerName() const { return m_peerName; }

private:
  void HandleConnected();
  void Read();
  void HandleRead(std::size_t aSize);
  void DeliverFrames();
  void Write();
  void HandleWritten(std::size_t aSize);
  void ScheduleHeartbeat();
  void HandleHeartbeat();
  void Fail(WireError aError, std::string aText);
  void ReportClosed(const WireReason& aReason);
  void Shut();

  const FrameLinkOptions m_options;
  std::unique_ptr<Channel> m_channel;
  // Null once the owner has closed the link or has heard of its end.
  FrameLinkListener* m_listener = nullptr;
  bool m_open = false;
  bool m_shut = false;
  bool m_sentSinceHeartbeat = false;
  TimePoint m_lastReceived{};
  TimePoint m_heartbeatAt{}; // when the timer is due
  std::string m_peerName;
};

} // namespace parsleycove
