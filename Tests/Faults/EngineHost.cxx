// An engine stand-in on a thread of the test's own process.
#include "Faults/EngineHost.h"

#include <utility>

#include "Fakes/EngineStandIn.h"
#include "Support/TestHttp.h"

namespace parsleycove {

EngineHost::EngineHost(fakes::EngineOptions aOptions)
  : m_options(std::move(aOptions))
  , m_engine(std::make_unique<fakes::EngineStandIn>(m_context, m_options))
{
  m_engine->Start();
  m_thread = std::thread([this] { m_context.run(); });
}

EngineHost::~EngineHost()
{
  Kill();
}

void
EngineHost::SetFaults(const std::string& aSwitches)
{
  SendHttp(
    m_engine->LocalAddress().m_port, "POST", "/fake/faults", {}, aSwitches);
}

bool
EngineHost::HasRun()
{
  const auto audit =
    SendHttp(m_engine->LocalAddress().m_port, "GET", "/fake/audit", {}, "");
  return audit.m_body.find("\"attempt\"") != std::string::npos;
}

void
EngineHost::Kill()
{
  if (m_thread.joinable()) {
    m_context.stop();
    m_thread.join();
  }
  m_engine.reset();
}

} // namespace parsleycove
