// ReadIndex requests that wait for confirmation: on the leader by a quorum, on
// a follower by the leader.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Base/Clock.h"

namespace parsleycove {

// A read on the leader, requested by the leader itself or by a member.
struct WaitingRead
{
  std::uint64_t m_from = 0; // 0 for the leader itself
  std::uint64_t m_id = 0;
  TimePoint m_requestedAt{};
  // The read is confirmed once a quorum has answered a message with this probe
  // number or a higher one. 0 while no entry of the leader's term is committed.
  std::uint64_t m_probe = 0;
};

// A read that a follower has forwarded to its leader.
struct ForwardedRead
{
  std::uint64_t m_wireId = 0; // in the message to the leader
  std::uint64_t m_id = 0;     // of the local request
  TimePoint m_requestedAt{};
};

class ReadIndexQueue
{
public:
  // aNonce is the first id to send. It differs in each run of the replica, so
  // that answers to reads of an earlier run are not mistaken for current ones.
  explicit ReadIndexQueue(std::uint64_t aNonce)
    : m_nextWireId(aNonce)
  {
  }

  bool IsEmpty() const { return m_waiting.empty() && m_forwarded.empty(); }
  // Returns when the oldest read was requested, or TimePoint::max() if there
  // are no reads.
  TimePoint OldestRequestedAt() const;

  void Add(WaitingRead aRead) { m_waiting.push_back(aRead); }
  // Sets the probe of the reads that waited for the first commit of the term.
  // Returns whether there were any such reads.
  bool StartProbe(std::uint64_t aProbe);
  std::vector<WaitingRead> TakeConfirmed(std::uint64_t aQuorumProbe);
  std::vector<WaitingRead> TakeWaitingUntil(TimePoint aRequestedUntil);

  // Adds a read to forward. Returns the id for the message to the leader.
  std::uint64_t Forward(std::uint64_t aId, TimePoint aNow);
  // Returns std::nullopt for an unknown id.
  std::optional<ForwardedRead> TakeForwarded(std::uint64_t aWireId);
  std::vector<ForwardedRead> TakeForwardedUntil(TimePoint aRequestedUntil);

private:
  std::uint64_t m_nextWireId;
  std::vector<WaitingRead> m_waiting;     // in order of arrival
  std::vector<ForwardedRead> m_forwarded; // in order of arrival
};

} // namespace parsleycove
