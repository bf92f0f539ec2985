// Tracks the leader's replication progress of one member.
#pragma once

#include <cstdint>
#include <deque>

#include "Base/Clock.h"

namespace parsleycove {

enum class ProgressState
{
  Probe,     // one message at a time, until a matching entry is known
  Replicate, // messages are pipelined, without waiting for answers
  Snapshot,  // the member needs entries that the leader has compacted
};

class Progress
{
public:
  explicit Progress(std::uint64_t aReplica, std::uint64_t aNext)
    : m_replica(aReplica)
    , m_next(aNext)
  {
  }

  // Records that an append with this many entries, or a heartbeat, was sent.
  // aBytes: size of the entries' data.
  void RecordSent(std::uint64_t aProbe,
                  TimePoint aNow,
                  std::size_t aEntries,
                  std::size_t aBytes);
  // Records the answer to a message. Answers may arrive in any order; an answer
  // also ends the wait for the answers to earlier messages.
  void RecordAck(std::uint64_t aProbe);
  // Returns the number of unanswered appends with entries.
  std::size_t CountInflight() const { return m_inflight; }
  // Returns the size of the data of the unanswered entries.
  std::size_t CountInflightBytes() const { return m_inflightBytes; }

  std::uint64_t m_replica;
  ProgressState m_state = ProgressState::Probe;
  std::uint64_t m_match = 0;      // match index, never decreases
  std::uint64_t m_next;           // next index, > m_match
  bool m_paused = false;          // in state Probe, waits for an answer
  std::uint64_t m_sentCommit = 0; // last commit index sent

  // Index of the snapshot being sent, the offset of the next chunk in bytes,
  // and when the chunk was requested.
  std::uint64_t m_snapshotIndex = 0;
  std::uint64_t m_snapshotOffset = 0;
  TimePoint m_snapshotRequestedAt{};

  std::uint64_t m_ackedProbe = 0;
  // When the message of m_ackedProbe was sent.
  TimePoint m_ackedSentAt = TimePoint::min();

private:
  struct Sent
  {
    std::uint64_t m_probe = 0;
    TimePoint m_at{};
    bool m_withEntries = false;
    std::size_t m_bytes = 0; // of the entries' data
  };

  void PopSent();

  std::deque<Sent> m_sent;         // in order of the probe number
  std::size_t m_inflight = 0;      // messages in m_sent that carry entries
  std::size_t m_inflightBytes = 0; // sum of m_bytes in m_sent
};

} // namespace parsleycove
