// Socket, timer and buffers of a link; only for units that include Asio.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Wire/FrameLink.h"

namespace parsleycove {

struct FrameLink::Channel
{
  static constexpr std::size_t kReadBytes = 64 * 1024;

  Channel(boost::asio::ip::tcp::socket aSocket, std::size_t aMaxFrameBytes)
    : m_socket(std::move(aSocket))
    , m_timer(m_socket.get_executor())
    , m_reader(aMaxFrameBytes)
  {
  }

  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_timer;
  FrameReader m_reader;
  std::array<std::uint8_t, kReadBytes> m_received{};
  // Frames not yet written; the first m_writing of them are on their way.
  std::deque<Frame::Pointer> m_queue;
  std::size_t m_queuedBytes = 0;
  std::size_t m_writing = 0;
};

} // namespace parsleycove
