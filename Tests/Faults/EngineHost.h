// An engine stand-in on a thread of the test's own process.
#pragma once

#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "Fakes/EngineOptions.h"

namespace parsleycove {

namespace fakes {
class EngineStandIn;
}

class EngineHost
{
public:
  explicit EngineHost(fakes::EngineOptions aOptions);
  ~EngineHost();
  EngineHost(const EngineHost&) = delete;
  EngineHost& operator=(const EngineHost&) = delete;

  const std::string& Id() const { return m_options.m_id; }
  // Sets fault switches, as POST /fake/faults takes them.
  void SetFaults(const std::string& aSwitches);
  // True when a stream has reached this engine.
  bool HasRun();
  // Closes everything at once, as a kill does.
  void Kill();

private:
  fakes::EngineOptions m_options;
  boost::asio::io_context m_context{ 1 };
  std::unique_ptr<fakes::EngineStandIn> m_engine;
  std::thread m_thread;
};

} // namespace parsleycove
