// Settings of the engine stand-in.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Base/SocketAddress.h"

namespace parsleycove::fakes {

struct EngineOptions
{
  SocketAddress m_listen{ "127.0.0.1", 0 };
  std::vector<SocketAddress> m_gateways;
  std::string m_id = "engine";
  std::string m_zone = "zone-1";
  std::string m_model = "toy";
  std::string m_version = "1";
  std::uint32_t m_firstLayer = 0;
  std::uint32_t m_lastLayer = 0;
  std::uint32_t m_modelLayers = 1;
  std::string m_accelerator = "toy";
  double m_tokensPerSecond = 2000;
  double m_roundMs = 1;
  std::uint32_t m_slots = 256;
  double m_linkDelayMs = 0;
  std::size_t m_prefixCacheTokens = 0;
  bool m_checksFencing = true;
  std::uint32_t m_loadLagMs = 0;
  std::uint32_t m_eventsMs = 500; // between load reports; 0: none
  std::uint32_t m_orderMs = 0;    // time that carrying out an order takes
  std::uint32_t m_auditStreams = 20'000;
};

// Says on stderr what is wrong and returns false.
bool
ReadEngineOptions(int aCount, char** aArguments, EngineOptions& aOptions);

// Throws std::invalid_argument for what is no address.
SocketAddress
ReadAddress(const std::string& aText);

std::vector<SocketAddress>
ReadAddresses(const std::string& aText);

} // namespace parsleycove::fakes
