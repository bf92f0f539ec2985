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
    { "listen", true, [&](auto& aText) { o.m_listen = ReadAddress(aText); } },
    { "gateways",
      true,
      [&](auto& aText) { o.m_gateways = ReadAddresses(aText); } },
    { "id", true, [&](auto& aText) { o.m_id = aText; } },
    { "zone", true, [&](auto& aText) { o.m_zone = aText; } },
    { "model", true, [&](auto& aText) { o.m_model = aText; } },
    { "version", true, [&](auto& aText) { o.m_version = aText; } },
    { "layers", true, [&](auto& aText) { ReadLayers(aText, o); } },
    { "model-layers",
      true,
      [&](auto& aText) { o.m_modelLayers = ReadCount(aText); } },
    { "accelerator", true, [&](auto& aText) { o.m_accelerator = aText; } },
  };
}

std::vector<Flag>
SpeedFlags(EngineOptions& aOptions)
{
  EngineOptions& o = aOptions;
  return {
    { "rate",
      true,
      [&](auto& aText) { o.m_tokensPerSecond = std::stod(aText); } },
    { "round-ms", true, [&](auto& aText) { o.m_roundMs = std::stod(aText); } },
    { "slots", true, [&](auto& aText) { o.m_slots = ReadCount(aText); } },
    { "link-delay",
      true,
      [&](auto& aText) { o.m_linkDelayMs = std::stod(aText); } },
    { "prefix-cache-tokens",
      true,
      [&](auto& aText) { o.m_prefixCacheTokens = ReadCount(aText); } },
    { "checks-fencing", false, [&](auto&) { o.m_checksFencing = true; } },
    { "ignores-fencing", false, [&](auto&) { o.m_checksFencing = false; } },
    { "load-lag-ms",
      true,
      [&](auto& aText) { o.m_loadLagMs = ReadCount(aText); } },
    { "events-ms",
      true,
      [&](auto& aText) { o.m_eventsMs = ReadCount(aText); } },
    { "order-ms", true, [&](auto& aText) { o.m_orderMs = ReadCount(aText); } },
    { "audit-streams",
      true,
      [&](auto& aText) { o.m_auditStreams = ReadCount(aText); } },
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
