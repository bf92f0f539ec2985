// Settings of the plain-service stand-in.
#include "Fakes/ServiceOptions.h"

#include "Fakes/EngineOptions.h"
#include "Fakes/Flags.h"

namespace parsleycove::fakes {

namespace {

std::uint32_t
ReadCount(const std::string& aText)
{
  return static_cast<std::uint32_t>(std::stoul(aText));
}

} // namespace

bool
ReadServiceOptions(int aCount, char** aArguments, ServiceOptions& aOptions)
{
  ServiceOptions& o = aOptions;
  const std::vector<Flag> flags{
    { "listen", true, [&](auto& aText) { o.m_listen = ReadAddress(aText); } },
    { "gateways",
      true,
      [&](auto& aText) { o.m_gateways = ReadAddresses(aText); } },
    { "id", true, [&](auto& aText) { o.m_id = aText; } },
    { "zone", true, [&](auto& aText) { o.m_zone = aText; } },
    { "service", true, [&](auto& aText) { o.m_service = aText; } },
    { "slots", true, [&](auto& aText) { o.m_slots = ReadCount(aText); } },
    { "call-ms", true, [&](auto& aText) { o.m_callMs = std::stod(aText); } },
    { "load-lag-ms",
      true,
      [&](auto& aText) { o.m_loadLagMs = ReadCount(aText); } },
    { "events-ms",
      true,
      [&](auto& aText) { o.m_eventsMs = ReadCount(aText); } },
  };
  return ReadFlags(aCount, aArguments, flags);
}

} // namespace parsleycove::fakes
