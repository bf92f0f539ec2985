// A gateway before two engines for each of three stages of one model.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "Faults/EngineHost.h"
#include "Faults/EventReader.h"
#include "Support/GatewayFixture.h"

namespace parsleycove {

class StreamFixture
{
public:
  static constexpr std::size_t kStages = 3;
  static constexpr std::size_t kEnginesPerStage = 2;
  static constexpr std::uint32_t kLayers = 12;
  static constexpr std::uint32_t kTokens = 16;
  static constexpr std::uint64_t kSeed = 11;

  StreamFixture();

  // Begins a streamed chat.
  std::unique_ptr<EventReader> Ask();
  // The engine of a stage that the stream runs on.
  EngineHost& EngineInUse(std::size_t aStage);
  // The text that the model gives, computed without the system.
  static std::string ExpectedText();

  FakeControl m_control;
  TestGateway m_gateway;
  std::vector<std::unique_ptr<EngineHost>> m_engines;
};

} // namespace parsleycove
