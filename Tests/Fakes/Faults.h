// Faults that a test switches on over POST /fake/faults.
#pragma once

#include <cstdint>

#include <boost/json/object.hpp>

namespace parsleycove::fakes {

// What happens to one request on its way in and out.
enum class Fate
{
  Normal,
  LoseRequest, // the connection is closed and nothing runs
  LoseAnswer,  // it runs, then the connection is closed
  Duplicate,   // the answer carries each result twice
};

// The switches of one stand-in; used from one thread.
class Faults
{
public:
  // Sets the switches that the object names and leaves the others. Exits the
  // process at once for "die".
  void Apply(const boost::json::object& aSwitches);

  // Takes the fate of the next request; counted switches count down here.
  Fate TakeFate();

  // Requests and answers wait while this holds.
  bool Frozen() const { return m_frozen; }
  std::uint32_t DelayMs() const { return m_delayMs; }
  bool RefusesOrders() const { return m_refuseOrders; }
  bool StopsRenewing() const { return m_stopRenewing; }
  bool SaysNotRun() const { return m_notRun; }
  bool RefusesWork() const { return m_refuseWork; }
  bool DiesBeforeRunning() const { return m_dieBefore; }
  bool DiesAfterRunning() const { return m_dieAfter; }

  // A connection that was accepted before this number is silent for good.
  std::uint64_t FirstLiveConnection() const { return m_firstLive; }
  std::uint64_t NextConnection() { return m_connections++; }

private:
  bool m_frozen = false;
  bool m_refuseOrders = false;
  bool m_refuseWork = false;
  bool m_stopRenewing = false;
  bool m_notRun = false;
  bool m_dieBefore = false;
  bool m_dieAfter = false;
  std::uint32_t m_delayMs = 0;
  std::uint32_t m_dropNext = 0;
  std::uint32_t m_loseRequests = 0;
  std::uint32_t m_duplicateNext = 0;
  std::uint64_t m_connections = 0;
  std::uint64_t m_firstLive = 0;
};

} // namespace parsleycove::fakes
