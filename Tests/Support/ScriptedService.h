// A plain service in the test's own process, which misbehaves as told.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>

namespace parsleycove {

enum class ServiceBehaviour
{
  // Runs the call and answers.
  Answers,
  // Runs the call and closes without an answer.
  LosesAnswer,
  // Closes without running the call.
  ClosesUnrun,
  // Says that it did not run the call.
  SaysNotRun,
  // Runs the call and says nothing until Release.
  StaysSilent,
};

class ScriptedService
{
public:
  ScriptedService();
  ~ScriptedService();
  ScriptedService(const ScriptedService&) = delete;
  ScriptedService& operator=(const ScriptedService&) = delete;

  std::uint16_t Port() const;
  void Behave(ServiceBehaviour aBehaviour) { m_behaviour = aBehaviour; }
  // How often a call has run.
  int Runs() const { return m_runs; }
  // Stops listening; calls get no connection.
  void Stop();

private:
  class Impl;

  std::atomic<ServiceBehaviour> m_behaviour{ ServiceBehaviour::Answers };
  std::atomic<int> m_runs{ 0 };
  std::unique_ptr<Impl> m_impl;
  std::thread m_thread;
};

} // namespace parsleycove
