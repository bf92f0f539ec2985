// Discrete-event model of servers behind one admission controller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Routing/AdmissionController.h"
#include "Routing/Random.h"

namespace parsleycove {

// Poisson arrivals of one client account.
struct ArrivalStream
{
  std::string m_account;
  double m_perSecond = 0;
  ClassTargets m_targets;
};

struct QueueModelSettings
{
  std::size_t m_servers = 16;
  // Mean service time; a service takes half of it to three halves, uniformly
  // distributed.
  Duration m_service = std::chrono::milliseconds(100);
  Duration m_length = std::chrono::seconds(20);
  std::vector<ArrivalStream> m_arrivals;
  std::uint64_t m_seed = 1;
  // If false, every request goes to the servers' queue at once.
  bool m_admission = true;
};

struct AccountResult
{
  std::size_t m_sent = 0;
  std::size_t m_inTime = 0;
  std::size_t m_late = 0;
  std::size_t m_refused = 0;
};

struct QueueModelResult
{
  AccountResult m_total;
  std::map<std::string, AccountResult> m_accounts;
  // Refusals that came after the request's deadline.
  std::size_t m_refusedTooLate = 0;
  std::size_t m_refusedWithoutRetryAfter = 0;
  // Requests that were neither answered nor refused at the end of the run.
  std::size_t m_unanswered = 0;
  Duration m_longestRefusal{};
};

// Runs the arrivals through the admission controller and the servers.
QueueModelResult
RunQueueModel(const QueueModelSettings& aSettings);

} // namespace parsleycove
