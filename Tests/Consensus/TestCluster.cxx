// Runs a group of replicas in one thread with simulated time, messages, disks
// and injected faults.
#include "TestCluster.h"

#include <algorithm>
#include <utility>

#include "Consensus/MembershipRules.h"

namespace parsleycove::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kCluster = 77;
constexpr Duration kLatency = milliseconds(1);
constexpr Duration kFaultLength = seconds(3);
constexpr Duration kDelay = milliseconds(40);
constexpr std::size_t kChunkBytes = 16;

bool
IsEqual(const consensus::EntryT& aLeft, const consensus::EntryT& aRight)
{
  return aLeft.term == aRight.term && aLeft.kind == aRight.kind &&
         aLeft.data == aRight.data;
}

} // namespace

TestCluster::TestCluster(std::size_t aCount,
                         std::uint64_t aSeed,
                         const ReplicaOptions& aOptions,
                         const std::vector<std::string>& aZones)
  : m_seed(aSeed)
  , m_options(aOptions)
{
  consensus::MembershipT members;
  for (std::size_t i = 0; i < aCount; ++i) {
    const std::uint64_t id = m_nextId++;
    m_nodes[id].m_zone = aZones[i % aZones.size()];
    members.members.push_back(std::make_unique<consensus::MemberT>());
    members.members.back()->replica = id;
    members.members.back()->zone = m_nodes[id].m_zone;
    members.members.back()->address = "vm-" + std::to_string(i);
    members.members.back()->port = 1;
    members.members.back()->voter = true;
  }
  for (auto& [id, node] : m_nodes) {
    Restart(id);
    node.m_replica->Bootstrap(members);
    Pump(id);
  }
}

ReplicaOptions
TestCluster::Options(std::uint64_t aId) const
{
  ReplicaOptions options = m_options;
  options.m_replica = aId;
  options.m_cluster = kCluster;
  options.m_seed = m_seed;
  options.m_compactionTailEntries = 0;
  options.m_snapshotChunkBytes = kChunkBytes;
  return options;
}

bool
TestCluster::IsRunning(const Node& aNode) const
{
  return aNode.m_replica && m_now >= aNode.m_frozenUntil;
}

void
TestCluster::Expect(bool aHolds, const std::string& aWhat)
{
  if (!aHolds && m_firstViolation.empty()) {
    m_firstViolation = aWhat + " at delivery " + std::to_string(m_deliveries);
  }
}

void
TestCluster::Run(Duration aFor)
{
  const TimePoint end = m_now + aFor;
  while (m_now < end && m_firstViolation.empty()) {
    m_now = std::max(m_now, std::min(end, NextEvent()));
    DeliverDue();
    TickDue();
    CheckInvariants();
  }
}

TimePoint
TestCluster::NextEvent() const
{
  TimePoint next = TimePoint::max();
  for (const Envelope& envelope : m_queue) {
    next = std::min(next, envelope.m_at);
  }
  for (const auto& [id, node] : m_nodes) {
    if (node.m_replica) {
      next = std::min(
        next, std::max(node.m_frozenUntil, node.m_replica->NextDeadline()));
    } else if (!node.m_wiped) {
      next = std::min(next, node.m_downUntil);
    }
  }
  return next;
}

void
TestCluster::DeliverDue()
{
  for (std::size_t i = 0; i < m_queue.size();) {
    if (m_queue[i].m_at > m_now) {
      ++i;
      continue;
    }
    Envelope envelope = std::move(m_queue[i]);
    m_queue.erase(m_queue.begin() + static_cast<std::ptrdiff_t>(i));
    Deliver(std::move(envelope));
  }
}

void
TestCluster::TickDue()
{
  for (auto& [id, node] : m_nodes) {
    if (!node.m_replica && !node.m_wiped && m_now >= node.m_downUntil) {
      Restart(id);
    }
    if (IsRunning(node) && m_now >= node.m_replica->NextDeadline()) {
      node.m_replica->Tick(m_now);
      Pump(id);
    }
  }
}

void
TestCluster::Deliver(Envelope aEnvelope)
{
  const auto sender = m_nodes.find(aEnvelope.m_message.from);
  const auto receiver = m_nodes.find(aEnvelope.m_message.to);
  if (receiver == m_nodes.end() || m_now < sender->second.m_outboundCutUntil ||
      m_now < receiver->second.m_inboundCutUntil ||
      IsLinkCut(sender->first, receiver->first)) {
    return;
  }
  Node& node = receiver->second;
  if (m_now < node.m_frozenUntil) {
    aEnvelope.m_at = node.m_frozenUntil;
    m_queue.push_back(std::move(aEnvelope));
    return;
  }
  if (!node.m_replica) {
    return;
  }
  ++m_deliveries;
  if (m_onDelivery) {
    m_onDelivery(receiver->first, sender->first);
  }
  for (const PlannedFault& fault : m_plan) {
    if (fault.m_delivery == m_deliveries && fault.m_fault != Fault::None) {
      InjectFault(fault.m_fault, aEnvelope);
      return;
    }
  }
  node.m_replica->Step(m_now, aEnvelope.m_message);
  Pump(receiver->first);
  CheckInvariants();
}

void
TestCluster::InjectFault(Fault aFault, const Envelope& aEnvelope)
{
  const std::uint64_t id = aEnvelope.m_message.to;
  Node& node = m_nodes.at(id);
  Envelope later = aEnvelope;
  switch (aFault) {
    case Fault::Delay:
      later.m_at = m_now + kDelay;
      m_queue.push_back(std::move(later));
      return;
    case Fault::Freeze:
      node.m_frozenUntil = m_now + kFaultLength;
      later.m_at = node.m_frozenUntil;
      m_queue.push_back(std::move(later));
      return;
    case Fault::Wipe:
      Wipe(id);
      return;
    case Fault::CutIn:
    case Fault::CutBoth:
      node.m_inboundCutUntil = m_now + kFaultLength;
      node.m_outboundCutUntil = aFault == Fault::CutBoth
                                  ? node.m_inboundCutUntil
                                  : node.m_outboundCutUntil;
      return;
    case Fault::CutOut:
      node.m_outboundCutUntil = m_now + kFaultLength;
      break;
    case Fault::Duplicate:
      m_queue.push_back(std::move(later));
      break;
    case Fault::CrashBeforeSync:
    case Fault::CrashAfterSync:
      m_syncFault = aFault;
      break;
    case Fault::Drop:
    case Fault::None:
      return;
  }
  node.m_replica->Step(m_now, aEnvelope.m_message);
  Pump(id);
  if (std::exchange(m_syncFault, Fault::None) != Fault::None) {
    Crash(id);
  }
}

void
TestCluster::Pump(std::uint64_t aId)
{
  while (PumpOnce(aId)) {
  }
}

bool
TestCluster::PumpOnce(std::uint64_t aId)
{
  Node& node = m_nodes.at(aId);
  if (!node.m_replica || !node.m_replica->HasReady()) {
    return false;
  }
  Ready ready = node.m_replica->TakeReady();
  Send(ready.m_earlyMessages);
  const Fault fault =
    ready.NeedsSync() ? std::exchange(m_syncFault, Fault::None) : Fault::None;
  if (fault != Fault::CrashBeforeSync) {
    node.m_disk.Store(ready);
    m_disksChanged = m_disksChanged || ready.NeedsSync();
  }
  if (fault != Fault::None) {
    Crash(aId);
    return false;
  }
  node.m_replica->Persisted(m_now);
  Send(ready.m_messages);
  for (const auto& entry : ready.m_committed) {
    CheckApplied(node, entry);
  }
  for (const ReadState& read : ready.m_reads) {
    PendingRead& pending = m_reads[read.m_id];
    pending.m_answer = read;
    Expect(!read.m_ok || read.m_index >= pending.m_floor, "stale read");
  }
  for (const auto& request : ready.m_chunkRequests) {
    SendChunk(aId, request);
  }
  for (const auto& chunk : ready.m_chunks) {
    ReceiveChunk(aId, chunk);
  }
  return true;
}

void
TestCluster::Send(std::vector<consensus::PeerMessageT>& aMessages)
{
  for (auto& message : aMessages) {
    m_queue.push_back({ m_now + kLatency, std::move(message) });
  }
}

void
TestCluster::SendChunk(std::uint64_t aId, const SnapshotChunkRequest& aRequest)
{
  Node& node = m_nodes.at(aId);
  const MemoryDisk& disk = node.m_disk;
  if (aRequest.m_index != disk.BaseIndex()) {
    return;
  }
  consensus::InstallSnapshotT chunk;
  chunk.meta = std::make_unique<consensus::SnapshotMetaT>(*disk.m_snapshot);
  chunk.offset =
    std::min<std::uint64_t>(aRequest.m_offset, disk.m_state.size());
  const std::size_t size =
    std::min(kChunkBytes, disk.m_state.size() - chunk.offset);
  const auto begin = disk.m_state.begin() + chunk.offset;
  chunk.data.assign(begin, begin + size);
  chunk.last = chunk.offset + size == disk.m_state.size();
  node.m_replica->SendSnapshotChunk(aRequest.m_to, std::move(chunk));
}

void
TestCluster::ReceiveChunk(std::uint64_t aId, const SnapshotChunk& aChunk)
{
  Node& node = m_nodes.at(aId);
  const auto& chunk = aChunk.m_chunk;
  node.m_received.resize(chunk.offset);
  node.m_received.insert(
    node.m_received.end(), chunk.data.begin(), chunk.data.end());
  if (!chunk.last) {
    return;
  }
  // The simulated state has one byte for each entry of the log.
  Expect(node.m_received.size() == chunk.meta->index, "broken snapshot");
  node.m_disk.Install(*chunk.meta, node.m_received, false);
  node.m_applied = chunk.meta->index;
  node.m_replica->SnapshotInstalled(m_now, *chunk.meta);
}

void
TestCluster::CheckApplied(Node& aNode, const consensus::EntryT& aEntry)
{
  Expect(aEntry.index == aNode.m_applied + 1, "entry applied out of order");
  aNode.m_applied = aEntry.index;
  const auto [known, isNew] = m_committed.try_emplace(aEntry.index, aEntry);
  Expect(isNew || IsEqual(known->second, aEntry), "committed entry changed");
}

void
TestCluster::CheckInvariants()
{
  int leases = 0;
  for (auto& [id, node] : m_nodes) {
    if (!node.m_replica) {
      continue;
    }
    const Replica& replica = *node.m_replica;
    leases += replica.HasLeaderLease(m_now) ? 1 : 0;
    if (replica.Role() == ReplicaRole::Leader) {
      const auto [known, isNew] =
        m_leaderOfTerm.try_emplace(replica.Term(), id);
      Expect(isNew || known->second == id, "two leaders of one term");
      m_acknowledged = std::max(m_acknowledged, replica.CommitIndex());
    }
  }
  Expect(leases <= 1, "two leaders with a lease");
  if (!std::exchange(m_disksChanged, false)) {
    return;
  }
  for (auto left = m_nodes.begin(); left != m_nodes.end(); ++left) {
    for (auto right = std::next(left); right != m_nodes.end(); ++right) {
      CheckLogs(left->second.m_disk, right->second.m_disk);
    }
  }
}

void
TestCluster::CheckLogs(const MemoryDisk& aLeft, const MemoryDisk& aRight)
{
  const auto lastLeft = aLeft.BaseIndex() + aLeft.m_entries.size();
  const auto lastRight = aRight.BaseIndex() + aRight.m_entries.size();
  const auto base = std::max(aLeft.BaseIndex(), aRight.BaseIndex());
  bool met = false;
  for (auto index = std::min(lastLeft, lastRight); index > base; --index) {
    const auto& left = aLeft.m_entries[index - aLeft.BaseIndex() - 1];
    const auto& right = aRight.m_entries[index - aRight.BaseIndex() - 1];
    met = met || left.term == right.term;
    Expect(!met || IsEqual(left, right), "logs differ below a common entry");
  }
}

} // namespace parsleycove::test
