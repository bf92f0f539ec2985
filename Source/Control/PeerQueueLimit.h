// Limits the bytes that wait to be sent to a peer that takes them slowly.
#pragma once

#include <cstddef>
#include <cstdint>

#include "ConsensusGenerated.h"

namespace parsleycove {

// Keeps entries and snapshot pieces out of a full queue. The log sends them
// again; heartbeats, votes and answers always pass, so that a slow peer does
// not take its leader for lost.
class PeerQueueLimit
{
public:
  explicit PeerQueueLimit(std::size_t aMaxBytes);

  // Returns false if the message is not to be sent. Takes the entries out of an
  // append that remains as a heartbeat. aQueuedBytes: what waits already.
  bool Admit(std::size_t aQueuedBytes, consensus::PeerMessageT& aMessage);
  // Number of appends and snapshot pieces that were held back.
  std::uint64_t CountHeldBack() const { return m_heldBack; }

private:
  const std::size_t m_maxBytes;
  std::uint64_t m_heldBack = 0;
};

} // namespace parsleycove
