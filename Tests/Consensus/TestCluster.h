// Replicas in one thread, with messages, disks and faults in the test's hand.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "MemoryDisk.h"

namespace parsleycove::test {

enum class Fault
{
  None,
  Drop,
  Duplicate,
  Delay,           // past messages that were sent later
  CrashBeforeSync, // the receiver, with what it did not sync lost
  CrashAfterSync,  // the receiver, before it sent anything
  Freeze,          // the receiver, past its lease
  CutIn,           // the receiver hears nothing for a while
  CutOut,          // the receiver is not heard for a while
  CutBoth,
  Wipe, // the receiver's disk; it comes back under a new identity
};

// A fault at the delivery with this number.
struct PlannedFault
{
  std::uint64_t m_delivery = 0;
  Fault m_fault = Fault::None;
};

struct Node
{
  std::unique_ptr<Replica> m_replica; // null: crashed
  MemoryDisk m_disk;
  std::string m_zone;
  std::uint64_t m_applied = 0;
  std::vector<std::uint8_t> m_received; // of a snapshot under way
  TimePoint m_frozenUntil{};
  TimePoint m_downUntil{};
  TimePoint m_inboundCutUntil{};
  TimePoint m_outboundCutUntil{};
  bool m_wiped = false; // gone for good
};

class TestCluster
{
public:
  TestCluster(std::size_t aCount, std::uint64_t aSeed);

  void Plan(std::vector<PlannedFault> aFaults) { m_plan = std::move(aFaults); }
  std::uint64_t Deliveries() const { return m_deliveries; }

  // Lets time pass; messages take a millisecond.
  void Run(Duration aFor);
  // Proposes until committed, through whichever leader there is.
  bool Commit(std::uint8_t aValue);
  bool Read();
  bool ChangeMembership(consensus::MembershipT aNext);
  bool Replace(std::uint64_t aOld);
  std::uint64_t Join(const std::string& aZone);
  // Snapshots the applied state of a node and drops its log before it.
  void Compact(std::uint64_t aId);
  void Crash(std::uint64_t aId);
  void Restart(std::uint64_t aId);
  void Wipe(std::uint64_t aId);
  // Ends all faults, replaces wiped replicas and expects every node to catch
  // up.
  bool Heal();

  std::uint64_t Leader() const; // the one with a lease, or 0
  consensus::MembershipT Members() const;
  consensus::MembershipT With(std::uint64_t aId,
                              const std::string& aZone,
                              bool aVoter) const;
  consensus::MembershipT Without(std::uint64_t aId) const;
  Node& At(std::uint64_t aId) { return m_nodes.at(aId); }
  std::map<std::uint64_t, Node>& Nodes() { return m_nodes; }
  TimePoint Now() const { return m_now; }
  ReplicaOptions Options(std::uint64_t aId) const;
  // What was broken first, or empty.
  const std::string& FirstViolation() const { return m_firstViolation; }

private:
  struct Envelope
  {
    TimePoint m_at{};
    consensus::PeerMessageT m_message;
  };
  struct PendingRead
  {
    std::uint64_t m_floor = 0; // committed when the read began
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
  bool IsRunning(const Node& aNode) const;

  std::uint64_t m_seed;
  TimePoint m_now{ std::chrono::hours(1) };
  std::map<std::uint64_t, Node> m_nodes;
  std::deque<Envelope> m_queue;
  std::vector<PlannedFault> m_plan;
  std::uint64_t m_deliveries = 0;
  std::uint64_t m_nextId = 1;
  Fault m_syncFault = Fault::None; // strikes at the next Ready with a sync
  std::map<std::uint64_t, std::uint64_t> m_leaderOfTerm;
  std::map<std::uint64_t, consensus::EntryT> m_committed; // by index
  std::uint64_t m_acknowledged = 0; // highest index a leader held committed
  std::map<std::uint64_t, PendingRead> m_reads;
  std::uint64_t m_nextRead = 1;
  bool m_disksChanged = false; // since the logs were last compared
  std::string m_firstViolation;
};

} // namespace parsleycove::test
