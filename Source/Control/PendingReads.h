// Quorum-confirmed reads that wait for their answer or for the state.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

#include "Consensus/Replica.h"

namespace parsleycove {

// A read is current once the state has applied the index that a quorum has
// confirmed for it.
class PendingReads
{
public:
  // The answer; with m_ok set the state is current as of the request.
  using Handler = std::function<void(const ReadState&)>;

  // Returns the id to ask the log with.
  std::uint64_t Add(Handler aHandler);
  void Answer(const ReadState& aRead);
  // Calls the handlers of the reads up to the applied index.
  void Advance(std::uint64_t aAppliedIndex);

private:
  struct Confirmed
  {
    ReadState m_read;
    Handler m_handler;
  };

  std::uint64_t m_lastId = 0;
  std::unordered_map<std::uint64_t, Handler> m_unconfirmed;
  std::multimap<std::uint64_t, Confirmed> m_confirmed; // by index
};

} // namespace parsleycove
