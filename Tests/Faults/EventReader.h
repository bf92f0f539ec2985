// Reads a chat completion's server-sent events one by one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/streambuf.hpp>

namespace parsleycove {

class EventReader
{
public:
  // Sends the request; the events follow on the same connection.
  EventReader(std::uint16_t aPort,
              const std::string& aKey,
              const std::string& aBody);

  // Returns the next token's text; nothing at the end or on an error.
  std::optional<std::string> ReadToken();
  // True once the closing mark has come.
  bool IsWhole() const { return m_isWhole; }
  // The line that ended the reading, for messages of failed tests.
  const std::string& LastLine() const { return m_lastLine; }
  void Close();

private:
  bool ReadLine();

  boost::asio::io_context m_context;
  boost::asio::ip::tcp::socket m_socket;
  boost::asio::streambuf m_buffer;
  std::string m_lastLine;
  bool m_isWhole = false;
};

} // namespace parsleycove
