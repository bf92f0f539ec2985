// An IP number with a port.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace parsleycove {

// Where a process listens. Host names are not taken, only IP numbers.
struct SocketAddress
{
  std::string m_address;
  std::uint16_t m_port = 0;

  // Parses "10.0.0.1:7000" or "[fd00::1]:7000". Two spellings of an IPv6 number
  // give equal addresses.
  static std::optional<SocketAddress> Parse(std::string_view aText);

  std::string ToString() const;
  bool operator==(const SocketAddress&) const = default;
};

} // namespace parsleycove
