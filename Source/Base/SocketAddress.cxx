// An IP number with a port.
#include "Base/SocketAddress.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <utility>

namespace parsleycove {

namespace {

// Returns the one form of an IP number in which it is compared, or std::nullopt
// for another text.
std::optional<std::string>
NormalizeIpNumber(const std::string& aText)
{
  for (const int family : { AF_INET, AF_INET6 }) {
    in6_addr number{};
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (inet_pton(family, aText.c_str(), &number) == 1 &&
        inet_ntop(family, &number, text.data(), text.size()) != nullptr) {
      return text.data();
    }
  }
  return std::nullopt;
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
  auto number = NormalizeIpNumber(std::string(host));
  if (!number) {
    return std::nullopt;
  }
  return SocketAddress{ std::move(*number), port };
}

std::string
SocketAddress::ToString() const
{
  const bool isV6 = m_address.find(':') != std::string::npos;
  const std::string host = isV6 ? "[" + m_address + "]" : m_address;
  return host + ":" + std::to_string(m_port);
}

} // namespace parsleycove
