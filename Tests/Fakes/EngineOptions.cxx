// Settings of the engine stand-in.
#include "Fakes/EngineOptions.h"

#include <stdexcept>

#include "Fakes/Flags.h"

namespace parsleycove::fakes {

namespace {

std::uint32_t
ReadCount(const std::string& aText)
{
  return static_cast<std::uint32_t>(std::stoul(aText));
}

void
ReadLayers(const std::string& aText, EngineOptions& aOptions)
{
  const auto dots = aText.find("..");
  if (dots == std::string::npos) {
    throw std::invalid_argument("expected FIRST..LAST");
  }
  aOptions.m_firstLayer = ReadCount(aText.substr(0, dots));
  aOptions.m_lastLayer = ReadCount(aText.substr(dots + 2));
}

std::vector<Flag>
PlaceFlags(EngineOptions& aOptions)
{
  EngineOptions& o = aOptions;
  return {
    { "listen", true, [&](auto& v) { o.m_listen = ReadAddress(v); } },
    { "gateways", true, [&](auto& v) { o.m_gateways = ReadAddresses(v); } },
    { "id", true, [&](auto& v) { o.m_id = v; } },
    { "zone", true, [&](auto& v) { o.m_zone = v; } },
    { "model", true, [&](auto& v) { o.m_model = v; } },
    { "version", true, [&](auto& v) { o.m_version = v; } },
    { "layers", true, [&](auto& v) { ReadLayers(v, o); } },
    { "model-layers", true, [&](auto& v) { o.m_modelLayers = ReadCount(v); } },
    { "accelerator", true, [&](auto& v) { o.m_accelerator = v; } },
  };
}

std::vector<Flag>
SpeedFlags(EngineOptions& aOptions)
{
  EngineOptions& o = aOptions;
  return {
    { "rate", true, [&](auto& v) { o.m_tokensPerSecond = std::stod(v); } },
    { "round-ms", true, [&](auto& v) { o.m_roundMs = std::stod(v); } },
    { "slots", true, [&](auto& v) { o.m_slots = ReadCount(v); } },
    { "link-delay", true, [&](auto& v) { o.m_linkDelayMs = std::stod(v); } },
    { "prefix-cache-tokens",
      true,
      [&](auto& v) { o.m_prefixCacheTokens = ReadCount(v); } },
    { "checks-fencing", false, [&](auto&) { o.m_checksFencing = true; } },
    { "ignores-fencing", false, [&](auto&) { o.m_checksFencing = false; } },
    { "load-lag-ms", true, [&](auto& v) { o.m_loadLagMs = ReadCount(v); } },
    { "events-ms", true, [&](auto& v) { o.m_eventsMs = ReadCount(v); } },
    { "order-ms", true, [&](auto& v) { o.m_orderMs = ReadCount(v); } },
    { "audit-streams",
      true,
      [&](auto& v) { o.m_auditStreams = ReadCount(v); } },
  };
}

} // namespace

bool
ReadEngineOptions(int aCount, char** aArguments, EngineOptions& aOptions)
{
  std::vector<Flag> flags = PlaceFlags(aOptions);
  for (Flag& flag : SpeedFlags(aOptions)) {
    flags.push_back(std::move(flag));
  }
  return ReadFlags(aCount, aArguments, flags);
}

SocketAddress
ReadAddress(const std::string& aText)
{
  if (auto address = SocketAddress::Parse(aText)) {
    return *address;
  }
  throw std::invalid_argument("expected IP:PORT");
}

std::vector<SocketAddress>
ReadAddresses(const std::string& aText)
{
  std::vector<SocketAddress> addresses;
  for (const std::string& part : SplitList(aText)) {
    addresses.push_back(ReadAddress(part));
  }
  return addresses;
}

} // namespace parsleycove::fakes
