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
    { "listen", true, [&](auto& v) { o.m_listen = ReadAddress(v); } },
    { "gateways", true, [&](auto& v) { o.m_gateways = ReadAddresses(v); } },
    { "id", true, [&](auto& v) { o.m_id = v; } },
    { "zone", true, [&](auto& v) { o.m_zone = v; } },
    { "service", true, [&](auto& v) { o.m_service = v; } },
    { "slots", true, [&](auto& v) { o.m_slots = ReadCount(v); } },
    { "call-ms", true, [&](auto& v) { o.m_callMs = std::stod(v); } },
    { "load-lag-ms", true, [&](auto& v) { o.m_loadLagMs = ReadCount(v); } },
    { "events-ms", true, [&](auto& v) { o.m_eventsMs = ReadCount(v); } },
  };
  return ReadFlags(aCount, aArguments, flags);
}

} // namespace parsleycove::fakes
