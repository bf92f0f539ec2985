// Reads that wait for a quorum's word, on a leader and on a follower.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Base/Clock.h"

namespace parsleycove {

// A read on the leader, its own or a member's.
struct WaitingRead
{
  std::uint64_t m_from = 0; // 0: the leader itself
  std::uint64_t m_id = 0;
  TimePoint m_requestedAt{};
  // A quorum that answers this probe confirms the read; 0 while no entry of
  // the own term is committed.
  std::uint64_t m_probe = 0;
};

// A read that a follower sent to its leader.
struct ForwardedRead
{
  std::uint64_t m_wireId = 0;
  std::uint64_t m_id = 0;
  TimePoint m_requestedAt{};
};

class ReadIndexQueue
{
public:
  // The nonce sets apart the answers to reads of an earlier run.
  explicit ReadIndexQueue(std::uint64_t aNonce)
    : m_nextWireId(aNonce)
  {
  }

  bool IsEmpty() const { return m_waiting.empty() && m_forwarded.empty(); }
  // Of all reads, when the oldest began.
  TimePoint OldestRequestedAt() const;

  void Add(WaitingRead aRead) { m_waiting.push_back(aRead); }
  // Sets the probe of the reads that waited for the first commit of the term.
  // Returns whether there were any.
  bool StartProbe(std::uint64_t aProbe);
  std::vector<WaitingRead> TakeConfirmed(std::uint64_t aQuorumProbe);
  std::vector<WaitingRead> TakeWaitingUntil(TimePoint aRequestedUntil);

  // Returns the id to send.
  std::uint64_t Forward(std::uint64_t aId, TimePoint aNow);
  std::optional<ForwardedRead> TakeForwarded(std::uint64_t aWireId);
  std::vector<ForwardedRead> TakeForwardedUntil(TimePoint aRequestedUntil);

private:
  std::uint64_t m_nextWireId;
  std::vector<WaitingRead> m_waiting;     // in order of arrival
  std::vector<ForwardedRead> m_forwarded; // in order of arrival
};

} // namespace parsleycove
