// Settings of the load generator.
#include "Bench/Load/LoadOptions.h"

#include <cstdio>

#include "Fakes/EngineOptions.h"
#include "Fakes/Flags.h"

namespace parsleycove::load {

namespace {

std::uint32_t
ReadCount(const std::string& aText)
{
  return static_cast<std::uint32_t>(std::stoul(aText));
}

} // namespace

bool
ReadLoadOptions(int aCount, char** aArguments, LoadOptions& aOptions)
{
  using fakes::ReadAddress;
  using fakes::ReadAddresses;
  LoadOptions& o = aOptions;
  const std::vector<fakes::Flag> flags{
    { "gateways",
      true,
      [&](auto& aText) { o.m_gateways = ReadAddresses(aText); } },
    { "services",
      true,
      [&](auto& aText) { o.m_services = ReadAddresses(aText); } },
    { "account-keys",
      true,
      [&](auto& aText) { o.m_accountKeys = fakes::SplitList(aText); } },
    { "profile", true, [&](auto& aText) { o.m_profile = aText; } },
    { "model", true, [&](auto& aText) { o.m_model = aText; } },
    { "layers", true, [&](auto& aText) { o.m_layers = ReadCount(aText); } },
    { "max-tokens",
      true,
      [&](auto& aText) { o.m_maxTokens = ReadCount(aText); } },
    { "service", true, [&](auto& aText) { o.m_service = aText; } },
    { "rate",
      true,
      [&](auto& aText) { o.m_requestsPerSecond = std::stod(aText); } },
    { "bound",
      true,
      [&](auto& aText) { o.m_boundPerSecond = std::stod(aText); } },
    { "seconds", true, [&](auto& aText) { o.m_seconds = std::stod(aText); } },
    { "seed", true, [&](auto& aText) { o.m_seed = std::stoull(aText); } },
    { "briefing-ms",
      true,
      [&](auto& aText) { o.m_briefingMs = ReadCount(aText); } },
    { "fault", true, [&](auto& aText) { o.m_fault = aText; } },
    { "fault-pid",
      true,
      [&](auto& aText) { o.m_faultPid = std::stoi(aText); } },
    { "fault-address",
      true,
      [&](auto& aText) { o.m_faultAddress = ReadAddress(aText); } },
    { "fault-at",
      true,
      [&](auto& aText) { o.m_faultAtSeconds = std::stod(aText); } },
    { "label", true, [&](auto& aText) { o.m_label = aText; } },
    { "commit", true, [&](auto& aText) { o.m_commit = aText; } },
    { "machine", true, [&](auto& aText) { o.m_machine = aText; } },
  };
  if (!fakes::ReadFlags(aCount, aArguments, flags)) {
    return false;
  }
  if (o.m_gateways.empty() || o.m_accountKeys.empty()) {
    std::fprintf(stderr, "--gateways and --account-keys are needed\n");
    return false;
  }
  return true;
}

} // namespace parsleycove::load
