// Both ends of links over loopback, driven on the test's own thread.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Wire/FrameAcceptor.h"
#include "Wire/FrameLink.h"

namespace parsleycove {

// Records what happens on links.
class RecordingListener final : public FrameLinkListener
{
public:
  void OnOpen(FrameLink& /*aLink*/) override { ++m_opened; }
  void OnFrame(FrameLink& /*aLink*/, const ReceivedFrame& aFrame) override
  {
    m_payloads.emplace_back(aFrame.m_payload.begin(), aFrame.m_payload.end());
  }
  void OnClosed(FrameLink& /*aLink*/, const WireReason& aReason) override
  {
    m_closed.push_back(aReason.m_code);
  }

  int m_opened = 0;
  std::vector<std::string> m_payloads;
  std::vector<WireError> m_closed;
};

// Listens on a free port and keeps what it accepts.
class LinkServer
{
public:
  LinkServer(boost::asio::io_context& aContext,
             const FrameLinkOptions& aOptions)
    : m_acceptor(aContext, aOptions, [this](FrameLink::Pointer aLink) {
      m_links.push_back(aLink);
      aLink->Start(m_listener);
    })
  {
    WireReason reason;
    m_acceptor.Listen({ "127.0.0.1", 0 }, reason);
  }
  ~LinkServer()
  {
    for (const auto& link : m_links) {
      link->Close();
    }
  }

  SocketAddress Address() const { return { "127.0.0.1", m_acceptor.Port() }; }

  RecordingListener m_listener;
  std::vector<FrameLink::Pointer> m_links;
  FrameAcceptor m_acceptor;
};

// Runs handlers until the condition holds; false after the test's deadline,
// which only a failing test reaches.
inline bool
RunUntil(boost::asio::io_context& aContext,
         const std::function<bool()>& aCondition)
{
  constexpr std::chrono::seconds kDeadlineS{ 20 };
  const TimePoint deadline = BootClock::now() + kDeadlineS;
  while (!aCondition()) {
    if (BootClock::now() > deadline) {
      return false;
    }
    aContext.run_one_for(std::chrono::milliseconds(100));
    aContext.restart();
  }
  return true;
}

inline Frame::Pointer
MakeFeedFrame(const std::string& aText)
{
  return { new Frame(
    FrameKind::Feed,
    { reinterpret_cast<const std::uint8_t*>(aText.data()), aText.size() }) };
}

} // namespace parsleycove
