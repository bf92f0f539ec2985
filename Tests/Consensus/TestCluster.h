// Runs a group of replicas in one thread with simulated time, messages, disks
// and injected faults, and checks Raft's invariants after each step.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "MemoryDisk.h"

namespace parsleycove::test {

enum class Fault
{
  None,
  Drop,
  Duplicate,
  Delay,           // the message, so that later ones overtake it
  CrashBeforeSync, // of the receiver, which loses its unsynced data
  CrashAfterSync,  // of the receiver, before it sends its messages
  Freeze,          // the receiver, for longer than a leader lease
  CutIn,           // drops messages to the receiver for a while
  CutOut,          // drops messages from the receiver for a while
  CutBoth,
  Wipe, // the receiver's disk; a replica with a new identity replaces it
};

// A fault that is injected at the delivery with the number m_delivery.
struct PlannedFault
{
  std::uint64_t m_delivery = 0;
  Fault m_fault = Fault::None;
};

struct Node
{
  std::unique_ptr<Replica> m_replica; // nullptr if crashed
  MemoryDisk m_disk;
  std::string m_zone;
  std::uint64_t m_applied = 0;
  std::vector<std::uint8_t> m_received; // of a snapshot being received
  TimePoint m_frozenUntil{};
  TimePoint m_downUntil{};
  TimePoint m_inboundCutUntil{};
  TimePoint m_outboundCutUntil{};
  bool m_wiped = false; // never restarts
};

class TestCluster
{
public:
  // Identity, cluster, seed and snapshots of aOptions are replaced. The members
  // are spread over aZones in turn.
  TestCluster(std::size_t aCount,
              std::uint64_t aSeed,
              const ReplicaOptions& aOptions = {},
              const std::vector<std::string>& aZones = { "a", "b", "c" });

  void Plan(std::vector<PlannedFault> aFaults) { m_plan = std::move(aFaults); }
  std::uint64_t Deliveries() const { return m_deliveries; }

  // Advances the time; a message takes a millisecond.
  void Run(Duration aFor);
  // Proposes the value to the current leader, repeatedly until it is committed.
  // Returns false if it is not committed in time.
  bool Commit(std::uint8_t aValue);
  bool Read();
  bool ChangeMembership(consensus::MembershipT aNext);
  bool Replace(std::uint64_t aOld);
  std::uint64_t Join(const std::string& aZone);
  // Starts a replica with an empty disk that is no member, and returns its id.
  std::uint64_t Add(const std::string& aZone);
  // Proposes to this replica, once. Returns the index of the entry, or
  // std::nullopt if the replica refuses it.
  std::optional<std::uint64_t> ProposeValue(std::uint64_t aId,
                                            std::uint8_t aValue);
  std::optional<std::uint64_t> ProposeMembers(std::uint64_t aId,
                                              consensus::MembershipT aNext);
  // Drops all messages between two replicas until aUntil.
  void CutLink(std::uint64_t aLeft, std::uint64_t aRight, TimePoint aUntil);
  bool IsLinkCut(std::uint64_t aLeft, std::uint64_t aRight) const;
  void HealLinks() { m_linkCuts.clear(); }
  // Called with receiver and sender for each message that reaches a running
  // replica.
  void OnDelivery(std::function<void(std::uint64_t, std::uint64_t)> aHandler)
  {
    m_onDelivery = std::move(aHandler);
  }
  // Stores a snapshot of a node's applied state and compacts the node's log.
  void Compact(std::uint64_t aId);
  void Crash(std::uint64_t aId);
  void Restart(std::uint64_t aId);
  void Wipe(std::uint64_t aId);
  // Ends all faults and replaces wiped replicas. Returns whether all members
  // then catch up with the leader.
  bool Heal();

  std::uint64_t Leader() const; // the leader with a lease, or 0
  consensus::MembershipT Members() const;
  consensus::MembershipT With(std::uint64_t aId,
                              const std::string& aZone,
                              bool aVoter) const;
  consensus::MembershipT Without(std::uint64_t aId) const;
  Node& At(std::uint64_t aId) { return m_nodes.at(aId); }
  const Node& At(std::uint64_t aId) const { return m_nodes.at(aId); }
  std::map<std::uint64_t, Node>& Nodes() { return m_nodes; }
  TimePoint Now() const { return m_now; }
  ReplicaOptions Options(std::uint64_t aId) const;
  bool IsRunning(const Node& aNode) const;
  const std::map<std::uint64_t, consensus::EntryT>& Committed() const
  {
    return m_committed;
  }
  // Returns the first invariant that was violated, or an empty text.
  const std::string& FirstViolation() const { return m_firstViolation; }

private:
  struct Envelope
  {
    TimePoint m_at{};
    consensus::PeerMessageT m_message;
  };
  struct PendingRead
  {
    std::uint64_t m_floor = 0; // highest commit index when the read began
    std::optional<ReadState> m_answer;
  };

  TimePoint NextEvent() const;
  void DeliverDue();
  void TickDue();
  void Deliver(Envelope aEnvelope);
  void InjectFault(Fault aFault, const Envelope& aEnvelope);
  void Pump(std::uint64_t aId);
  bool PumpOnce(std::uint64_t aId);
  void ReceiveChunk(std::uint64_t aId, const SnapshotChunk& aChunk);
  void SendChunk(std::uint64_t aId, const SnapshotChunkRequest& aRequest);
  void Send(std::vector<consensus::PeerMessageT>& aMessages);
  void CheckApplied(Node& aNode, const consensus::EntryT& aEntry);
  void CheckInvariants();
  void CheckLogs(const MemoryDisk& aLeft, const MemoryDisk& aRight);
  bool IsCaughtUp() const;
  void Expect(bool aHolds, const std::string& aWhat);

  std::uint64_t m_seed;
  const ReplicaOptions m_options;
  TimePoint m_now{ std::chrono::hours(1) };
  std::map<std::uint64_t, Node> m_nodes;
  std::deque<Envelope> m_queue;
  std::vector<PlannedFault> m_plan;
  // Until when the link of two replicas is cut; the lower id comes first.
  std::map<std::pair<std::uint64_t, std::uint64_t>, TimePoint> m_linkCuts;
  std::function<void(std::uint64_t, std::uint64_t)> m_onDelivery;
  std::uint64_t m_deliveries = 0;
  std::uint64_t m_nextId = 1;
  // Injected at the next Ready that needs a sync.
  Fault m_syncFault = Fault::None;
  std::map<std::uint64_t, std::uint64_t> m_leaderOfTerm;
  std::map<std::uint64_t, consensus::EntryT> m_committed; // by index
  std::uint64_t m_acknowledged = 0; // highest commit index of any leader
  std::map<std::uint64_t, PendingRead> m_reads;
  std::uint64_t m_nextRead = 1;
  bool m_disksChanged = false; // since the last comparison of the logs
  std::string m_firstViolation;
};

} // namespace parsleycove::test
