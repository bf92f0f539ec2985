// A gateway with a fake replicated state and a scripted service.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Gateway/GatewayServer.h"
#include "Support/FakeControl.h"
#include "Support/ScriptedService.h"
#include "Support/TestHttp.h"
#include "Telemetry/MetricRegistry.h"
#include "Telemetry/SpanStore.h"

namespace parsleycove {

// One VM of the fleet in this process.
class TestGateway
{
public:
  TestGateway(FakeControl& aControl, const std::string& aVm);

  std::uint16_t Port() const { return m_server.Port(); }
  GatewayServer& Server() { return m_server; }

private:
  SystemClock m_clock;
  MetricRegistry m_metrics;
  SpanStore m_spans;
  GatewayServer m_server;
};

// Two VMs that share a replicated state, with one plain service.
class GatewayFixture
{
public:
  static constexpr const char* kAccountKey = "secret";
  static constexpr const char* kOperatorKey = "operator";

  GatewayFixture();

  // Sends the booking with this key through a VM.
  TestResponse Book(TestGateway& aGateway,
                    const std::string& aKey,
                    const std::string& aClass = "booking");

  FakeControl m_control;
  ScriptedService m_service;
  TestGateway m_first;
  TestGateway m_second;
};

// Reads a text of the error object in an answer's body, or an empty text.
std::string
ErrorField(const TestResponse& aResponse, const std::string& aField);

} // namespace parsleycove
