// Settings of the load generator.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Base/SocketAddress.h"

namespace parsleycove::load {

struct LoadOptions
{
  std::vector<SocketAddress> m_gateways;
  std::vector<SocketAddress> m_services;  // whose audits are checked
  std::vector<std::string> m_accountKeys; // the first two are the large ones
  std::string m_profile = "keelung";
  std::string m_model = "ice";
  std::uint32_t m_layers = 12;
  std::uint32_t m_maxTokens = 16;
  std::string m_service = "escort";
  double m_requestsPerSecond = 10;
  double m_boundPerSecond = 0; // of briefings; 0: unknown
  double m_seconds = 5;
  std::uint64_t m_seed = 1;
  std::uint32_t m_briefingMs = 20'000; // deadlines of right and in time
  std::uint32_t m_bookingMs = 5'000;
  std::uint32_t m_lookupMs = 1'000;
  std::string m_fault; // kill, freeze or silent; empty: none
  int m_faultPid = 0;
  SocketAddress m_faultAddress;
  double m_faultAtSeconds = 2;
  std::string m_label = "load";
  std::string m_commit;
  std::string m_machine;
};

// Says on stderr what is wrong and returns false.
bool
ReadLoadOptions(int aCount, char** aArguments, LoadOptions& aOptions);

} // namespace parsleycove::load
