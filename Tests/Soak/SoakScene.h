// The parts of a soak that its faults and its checks share: processes, links,
// back ends, operator and callers.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Routing/Random.h"
#include "Soak/SoakBackend.h"
#include "Soak/SoakCallers.h"
#include "Soak/SoakCuts.h"
#include "Soak/SoakFleet.h"
#include "Soak/SoakOperator.h"

namespace parsleycove {

struct SoakOptions
{
  std::string m_program;
  std::string m_folder;
  std::uint64_t m_seed = 1;
  Duration m_length = std::chrono::seconds(20);
  std::size_t m_entries = 3;
  // Further settings of each process, as NAME=VALUE.
  std::vector<std::string> m_settings;
  // Also checks what is promised within a time; for machines that are idle.
  bool m_isTimed = false;
  // Some prompts have a part that crashes each engine that answers them.
  bool m_hasCrashingPart = false;
  // One request comes again and again and crashes each back end that runs it.
  bool m_hasCrashingRequest = false;
  // Some back ends name limits of requests.
  bool m_hasLimits = false;
  // Entry VMs lose their links to back ends.
  bool m_hasCuts = false;
};

// Invariant: runs on the thread of its context.
class SoakScene
{
public:
  explicit SoakScene(SoakOptions aOptions);

  void AddBackend(bool aIsEngine);
  // Calls aTask once after a time.
  void After(Duration aTime, std::function<void()> aTask);
  Duration Draw(int aLeastMs, int aMostMs);
  void Say(const std::string& aWhat);
  static std::string EntryName(std::size_t aVm);

  const SoakOptions m_options;
  boost::asio::io_context m_context;
  Random m_random;
  SoakLedger m_ledger;
  SoakFleet m_fleet;
  SoakCuts m_cuts{ m_fleet, m_ledger, m_options.m_entries };
  std::vector<std::unique_ptr<FaultProxy>> m_doors;
  std::deque<std::unique_ptr<SoakBackend>> m_backends;
  std::unique_ptr<SoakOperator> m_operator;
  std::unique_ptr<SoakCallers> m_callers;

private:
  std::vector<SocketAddress> Controls() const;

  TimePoint m_startedAt = BootClock::now();
  int m_backendCount = 0;
};

} // namespace parsleycove
