// Quorum-confirmed reads that wait for their answer or for the state.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

#include "Base/Clock.h"
#include "Consensus/Replica.h"

namespace parsleycove {

// A read is current once the state has applied the index that a quorum has
// confirmed for it.
class ReadTable
{
public:
  // aRequestedAt: leases that rest on the read count from here.
  using Handler = std::function<void(bool aOk, TimePoint aRequestedAt)>;

  // Returns the id to ask the log with.
  std::uint64_t Add(Handler aHandler);
  void Answer(const ReadState& aRead);
  // Calls the handlers of the reads up to the applied index.
  void Advance(std::uint64_t aAppliedIndex);
  void FailAll();

private:
  struct Confirmed
  {
    TimePoint m_requestedAt{};
    Handler m_handler;
  };

  std::uint64_t m_lastId = 0;
  std::unordered_map<std::uint64_t, Handler> m_asked;
  std::multimap<std::uint64_t, Confirmed> m_confirmed; // by index
};

} // namespace parsleycove
