// Reads a chat completion's server-sent events one by one.
#include "Faults/EventReader.h"

#include <istream>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

namespace parsleycove {

namespace asio = boost::asio;

EventReader::EventReader(std::uint16_t aPort,
                         const std::string& aKey,
                         const std::string& aBody)
  : m_socket(m_context)
{
  m_socket.connect({ asio::ip::address_v4::loopback(), aPort });
  const std::string request =
    "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " +
    aKey + "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
    aBody;
  asio::write(m_socket, asio::buffer(request));
}

bool
EventReader::ReadLine()
{
  boost::system::error_code error;
  asio::read_until(m_socket, m_buffer, '\n', error);
  if (error) {
    return false;
  }
  std::istream stream(&m_buffer);
  std::getline(stream, m_lastLine);
  return true;
}

std::optional<std::string>
EventReader::ReadToken()
{
  static constexpr std::string_view kData = "data: ";
  while (ReadLine()) {
    const std::string_view line = m_lastLine;
    const bool isRefusal =
      line.starts_with("HTTP/1.1 ") && !line.starts_with("HTTP/1.1 200");
    if (isRefusal || line.starts_with("event: error")) {
      return std::nullopt;
    }
    if (!line.starts_with(kData)) {
      continue;
    }
    const std::string text(line.substr(kData.size()));
    if (text == "[DONE]") {
      m_isWhole = true;
      return std::nullopt;
    }
    const auto event = boost::json::parse(text);
    const auto& delta = event.at_pointer("/choices/0/delta").as_object();
    if (const auto* content = delta.if_contains("content")) {
      return std::string(content->as_string());
    }
  }
  return std::nullopt;
}

void
EventReader::Close()
{
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

} // namespace parsleycove
