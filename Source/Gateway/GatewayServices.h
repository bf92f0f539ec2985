// What the handlers of one process share.
#pragma once

#include <atomic>
#include <cstdint>

#include "Base/Clock.h"
#include "Base/Publication.h"
#include "Gateway/GatewayOptions.h"

namespace parsleycove {

class ControlPort;
class DrainState;
class MetricRegistry;
class RunnerTable;
class SpanStore;

// Invariant: everything here may be used from any thread.
struct GatewayServices
{
  const GatewayOptions& m_options;
  const Clock& m_clock;
  ControlPort& m_control;
  MetricRegistry& m_metrics;
  SpanStore& m_spans;
  DrainState& m_drain;
  Publication<const RunnerTable>& m_runners;
};

} // namespace parsleycove
