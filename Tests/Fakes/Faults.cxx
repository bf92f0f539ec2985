// Faults that a test switches on over POST /fake/faults.
#include "Fakes/Faults.h"

#include <unistd.h>

#include <boost/json/value_to.hpp>

namespace parsleycove::fakes {

namespace {

constexpr int kDeathExitCode = 9;

void
SetSwitch(const boost::json::object& aSwitches, const char* aName, bool& aOut)
{
  if (const auto* value = aSwitches.if_contains(aName)) {
    aOut = value->as_bool();
  }
}

void
SetCount(const boost::json::object& aSwitches,
         const char* aName,
         std::uint32_t& aOut)
{
  if (const auto* value = aSwitches.if_contains(aName)) {
    aOut = value->to_number<std::uint32_t>();
  }
}

} // namespace

void
Faults::Apply(const boost::json::object& aSwitches)
{
  bool dies = false;
  bool silent = false;
  SetSwitch(aSwitches, "die", dies);
  SetSwitch(aSwitches, "silent_connections", silent);
  SetSwitch(aSwitches, "freeze", m_frozen);
  SetSwitch(aSwitches, "refuse_orders", m_refuseOrders);
  SetSwitch(aSwitches, "refuse_work", m_refuseWork);
  SetSwitch(aSwitches, "stop_renewing", m_stopRenewing);
  SetSwitch(aSwitches, "not_run", m_notRun);
  SetSwitch(aSwitches, "die_before_running", m_dieBefore);
  SetSwitch(aSwitches, "die_after_running", m_dieAfter);
  SetCount(aSwitches, "delay_ms", m_delayMs);
  SetCount(aSwitches, "drop_next", m_dropNext);
  SetCount(aSwitches, "lose_requests_next", m_loseRequests);
  SetCount(aSwitches, "duplicate_next", m_duplicateNext);
  if (dies) {
    ::_exit(kDeathExitCode);
  }
  if (silent) {
    m_firstLive = m_connections;
  }
}

Fate
Faults::TakeFate()
{
  if (m_loseRequests > 0) {
    --m_loseRequests;
    return Fate::LoseRequest;
  }
  if (m_dropNext > 0) {
    --m_dropNext;
    return Fate::LoseAnswer;
  }
  if (m_duplicateNext > 0) {
    --m_duplicateNext;
    return Fate::Duplicate;
  }
  return Fate::Normal;
}

} // namespace parsleycove::fakes
