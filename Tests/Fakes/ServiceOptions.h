// Settings of the plain-service stand-in.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Base/SocketAddress.h"

namespace parsleycove::fakes {

struct ServiceOptions
{
  SocketAddress m_listen{ "127.0.0.1", 0 };
  std::vector<SocketAddress> m_gateways;
  std::string m_id = "service";
  std::string m_zone = "zone-1";
  std::string m_service = "bookings";
  std::uint32_t m_slots = 64;
  double m_callMs = 5;
  std::uint32_t m_loadLagMs = 0;
  std::uint32_t m_eventsMs = 500; // between load reports; 0: none
};

// Says on stderr what is wrong and returns false.
bool
ReadServiceOptions(int aCount, char** aArguments, ServiceOptions& aOptions);

} // namespace parsleycove::fakes
