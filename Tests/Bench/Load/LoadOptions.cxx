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
    { "gateways", true, [&](auto& v) { o.m_gateways = ReadAddresses(v); } },
    { "services", true, [&](auto& v) { o.m_services = ReadAddresses(v); } },
    { "account-keys",
      true,
      [&](auto& v) { o.m_accountKeys = fakes::SplitList(v); } },
    { "profile", true, [&](auto& v) { o.m_profile = v; } },
    { "model", true, [&](auto& v) { o.m_model = v; } },
    { "layers", true, [&](auto& v) { o.m_layers = ReadCount(v); } },
    { "max-tokens", true, [&](auto& v) { o.m_maxTokens = ReadCount(v); } },
    { "service", true, [&](auto& v) { o.m_service = v; } },
    { "rate", true, [&](auto& v) { o.m_requestsPerSecond = std::stod(v); } },
    { "bound", true, [&](auto& v) { o.m_boundPerSecond = std::stod(v); } },
    { "seconds", true, [&](auto& v) { o.m_seconds = std::stod(v); } },
    { "seed", true, [&](auto& v) { o.m_seed = std::stoull(v); } },
    { "briefing-ms", true, [&](auto& v) { o.m_briefingMs = ReadCount(v); } },
    { "fault", true, [&](auto& v) { o.m_fault = v; } },
    { "fault-pid", true, [&](auto& v) { o.m_faultPid = std::stoi(v); } },
    { "fault-address",
      true,
      [&](auto& v) { o.m_faultAddress = ReadAddress(v); } },
    { "fault-at", true, [&](auto& v) { o.m_faultAtSeconds = std::stod(v); } },
    { "label", true, [&](auto& v) { o.m_label = v; } },
    { "commit", true, [&](auto& v) { o.m_commit = v; } },
    { "machine", true, [&](auto& v) { o.m_machine = v; } },
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
