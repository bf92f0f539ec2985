// An IP number with a port.
#include "Base/SocketAddress.h"

#include <arpa/inet.h>
#include <charconv>

namespace parsleycove {

namespace {

bool
IsIpNumber(const std::string& aText)
{
  in6_addr buffer{};
  return inet_pton(AF_INET, aText.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), &buffer) == 1;
}

} // namespace

std::optional<SocketAddress>
SocketAddress::Parse(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = aText.substr(0, colon);
  const bool bracketed =
    host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc{} || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  SocketAddress result{ std::string(host), port };
  if (!IsIpNumber(result.m_address)) {
    return std::nullopt;
  }
  return result;
}

std::string
SocketAddress::ToString() const
{
  const bool isV6 = m_address.find(':') != std::string::npos;
  const std::string host = isV6 ? "[" + m_address + "]" : m_address;
  return host + ":" + std::to_string(m_port);
}

} // namespace parsleycove
