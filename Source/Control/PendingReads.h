// Holds reads until a quorum has confirmed them and the state has caught up.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

#include "Consensus/Replica.h"

namespace parsleycove {

// A read completes once the state machine has applied the index that a quorum
// confirmed for the read.
class PendingReads
{
public:
  // Receives the outcome. With m_ok set, the state is at least as recent as the
  // read request.
  using Handler = std::function<void(const ReadState&)>;

  // Returns the id for the ReadIndex request to the log.
  std::uint64_t Add(Handler aHandler);
  // Records the quorum's confirmation. A read that failed completes at once.
  void Answer(const ReadState& aRead);
  // Completes the confirmed reads up to the applied index.
  void Advance(std::uint64_t aAppliedIndex);

private:
  struct Confirmed
  {
    ReadState m_read;
    Handler m_handler;
  };

  std::uint64_t m_lastId = 0;
  std::unordered_map<std::uint64_t, Handler> m_unconfirmed;
  std::multimap<std::uint64_t, Confirmed> m_confirmed; // by log index
};

} // namespace parsleycove
