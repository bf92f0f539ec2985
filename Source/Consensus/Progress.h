// What a leader knows of one member's log.
#pragma once

#include <cstdint>
#include <deque>

#include "Base/Clock.h"

namespace parsleycove {

enum class ProgressState
{
  Probe,     // one message at a time, until the logs are known to meet
  Replicate, // messages follow one another without waiting
  Snapshot,  // the member needs entries that are dropped here
};

class Progress
{
public:
  explicit Progress(std::uint64_t aReplica, std::uint64_t aNext)
    : m_replica(aReplica)
    , m_next(aNext)
  {
  }

  // Notes a message on its way.
  void RecordSent(std::uint64_t aProbe, TimePoint aNow, bool aWithEntries);
  // Takes the answer to a message; answers may come in any order.
  void RecordAck(std::uint64_t aProbe);
  std::size_t CountInflight() const { return m_inflight; }

  std::uint64_t m_replica;
  ProgressState m_state = ProgressState::Probe;
  std::uint64_t m_match = 0; // stored there, never falls
  std::uint64_t m_next;      // > m_match
  bool m_paused = false;     // Probe: an answer is awaited
  std::uint64_t m_sentCommit = 0;

  // The snapshot under way, and from where on the member lacks it.
  std::uint64_t m_snapshotIndex = 0;
  std::uint64_t m_snapshotOffset = 0;
  TimePoint m_snapshotRequestedAt{};

  std::uint64_t m_ackedProbe = 0;
  // When the latest answered message went out.
  TimePoint m_ackedSentAt = TimePoint::min();

private:
  struct Sent
  {
    std::uint64_t m_probe = 0;
    TimePoint m_at{};
    bool m_withEntries = false;
  };

  void PopSent();

  std::deque<Sent> m_sent;    // by rising probe
  std::size_t m_inflight = 0; // those of m_sent with entries
};

} // namespace parsleycove
