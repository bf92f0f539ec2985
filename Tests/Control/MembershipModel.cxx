// Control VMs with simulated time, network and disks.
#include "Control/MembershipModel.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "Consensus/MembershipRules.h"
#include "Control/MembershipChange.h"

namespace parsleycove::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kMaintenanceInterval = milliseconds(250);
constexpr Duration kValueInterval = milliseconds(500);
constexpr Duration kReturnTime = seconds(10);
constexpr Duration kMemberTimeout = seconds(1);

} // namespace

MembershipModel::MembershipModel(std::size_t aTarget,
                                 std::uint64_t aSeed,
                                 const ReplicaOptions& aOptions,
                                 const ModelZones& aZones)
  : m_target(aTarget)
  , m_cluster(aTarget,
              aSeed,
              aOptions,
              aZones.m_areKnown ? aZones.m_zones
                                : std::vector<std::string>{ "" })
{
  for (std::size_t i = 0; i < aTarget; ++i) {
    AddVm(i + 1, aZones.m_zones[i % aZones.m_zones.size()]);
    m_seeds.push_back(m_vms.back().m_address);
  }
  for (std::size_t i = 0; i < aTarget; ++i) {
    StartClient(i);
  }
  m_cluster.OnDelivery([this](std::uint64_t aTo, std::uint64_t aFrom) {
    if (const std::size_t vm = VmOf(aTo); vm < m_vms.size()) {
      m_vms[vm].m_repair.RecordMessage(m_cluster.Now(), aFrom);
    }
  });
  Run(seconds(3));
}

void
MembershipModel::AddVm(std::uint64_t aId, const std::string& aZone)
{
  const std::string address = "vm-" + std::to_string(m_vms.size());
  m_vms.push_back({ aId,
                    aZone,
                    { address, 1 },
                    false,
                    false,
                    {},
                    MembershipRepair({ m_target, kMemberTimeout }),
                    0,
                    nullptr,
                    std::nullopt,
                    0 });
}

void
MembershipModel::StartClient(std::size_t aVm)
{
  Vm& vm = m_vms[aVm];
  feed::AddReplicaT self;
  self.replica = vm.m_id;
  self.vm = vm.m_address.m_address;
  self.zone = vm.m_zone;
  self.address = vm.m_address.m_address;
  self.port = vm.m_address.m_port;
  vm.m_addition.reset();
  vm.m_client =
    std::make_unique<ModelClient>(*this, aVm, vm.m_zone, m_seeds, self);
}

void
MembershipModel::Run(Duration aFor)
{
  const TimePoint end = m_cluster.Now() + aFor;
  while (m_cluster.Now() < end && m_cluster.FirstViolation().empty()) {
    m_cluster.Run(kStep);
    Step();
  }
}

void
MembershipModel::Step()
{
  const TimePoint now = m_cluster.Now();
  const bool repairs = now >= m_nextMaintenance;
  m_nextMaintenance = repairs ? now + kMaintenanceInterval : m_nextMaintenance;
  for (std::size_t i = 0; i < m_vms.size(); ++i) {
    StepVm(i);
    Repair(i, repairs);
  }
  if (const std::uint64_t leader = m_cluster.Leader();
      leader != 0 && now >= m_nextValue) {
    m_nextValue = now + kValueInterval;
    m_cluster.ProposeValue(leader, 1);
  }
}

void
MembershipModel::StepVm(std::size_t aVm)
{
  Vm& vm = m_vms[aVm];
  if (vm.m_gone) {
    return;
  }
  if (vm.m_diskLost && m_cluster.Now() >= vm.m_downUntil) {
    vm.m_diskLost = false;
    vm.m_id = m_cluster.Add(vm.m_zone);
  }
  if (!IsUp(vm)) {
    vm.m_client.reset();
    vm.m_ledTerm = 0;
    return;
  }
  if (IsFrozen(vm)) {
    return;
  }
  if (!vm.m_client) {
    StartClient(aVm);
  }
  const Replica& replica = ReplicaOf(vm);
  const std::uint64_t term =
    replica.Role() == ReplicaRole::Leader ? replica.Term() : 0;
  if (term != vm.m_ledTerm) {
    vm.m_ledTerm = term;
    vm.m_repair.Start(m_cluster.Now());
  }
  vm.m_repair.UpdateMembers(m_cluster.Now(), replica.Members());
  vm.m_client->Step(m_cluster.Now());
}

void
MembershipModel::Repair(std::size_t aVm, bool aAtInterval)
{
  const Vm& vm = m_vms[aVm];
  if (vm.m_gone || !IsUp(vm) || IsFrozen(vm) ||
      !ReplicaOf(vm).HasLeaderLease(m_cluster.Now())) {
    return;
  }
  // Follows ReplicaNode: at intervals, and after each event while a repair is
  // under way.
  const Replica& replica = ReplicaOf(vm);
  if (!replica.CanChangeMembers() ||
      (!aAtInterval && vm.m_repair.IsComplete(replica.Members()))) {
    return;
  }
  std::string passedOver;
  if (auto change = FindRepair(
        m_cluster.Now(), replica, vm.m_repair, vm.m_id, passedOver)) {
    m_cluster.ProposeMembers(vm.m_id, std::move(change->m_next));
  }
}

// Faults ---------------------------------------------------------------------

void
MembershipModel::Cut(std::size_t aVm, Duration aFor)
{
  for (std::size_t other = 0; other < m_vms.size(); ++other) {
    if (other != aVm) {
      CutLink(aVm, other, aFor);
    }
  }
}

void
MembershipModel::CutLink(std::size_t aLeft, std::size_t aRight, Duration aFor)
{
  m_cluster.CutLink(
    m_vms[aLeft].m_id, m_vms[aRight].m_id, m_cluster.Now() + aFor);
}

void
MembershipModel::Freeze(std::size_t aVm, Duration aFor)
{
  m_cluster.At(m_vms[aVm].m_id).m_frozenUntil = m_cluster.Now() + aFor;
}

void
MembershipModel::Stop(std::size_t aVm, Duration aFor)
{
  Vm& vm = m_vms[aVm];
  if (IsUp(vm)) {
    m_cluster.Crash(vm.m_id);
    m_cluster.At(vm.m_id).m_downUntil = m_cluster.Now() + aFor;
  }
}

void
MembershipModel::LoseDisk(std::size_t aVm, Duration aDownFor)
{
  Vm& vm = m_vms[aVm];
  m_cluster.Wipe(vm.m_id);
  vm.m_client.reset();
  vm.m_diskLost = true;
  vm.m_downUntil = m_cluster.Now() + aDownFor;
}

std::size_t
MembershipModel::Replace(std::size_t aVm)
{
  return Replace(aVm, std::string(m_vms[aVm].m_zone));
}

std::size_t
MembershipModel::Join(const std::string& aZone)
{
  AddVm(m_cluster.Add(aZone), aZone);
  return m_vms.size() - 1;
}

std::size_t
MembershipModel::Replace(std::size_t aVm, const std::string& aZone)
{
  m_cluster.Wipe(m_vms[aVm].m_id);
  m_vms[aVm].m_gone = true;
  m_vms[aVm].m_client.reset();
  Join(aZone);
  std::replace(m_seeds.begin(),
               m_seeds.end(),
               m_vms[aVm].m_address,
               m_vms.back().m_address);
  for (Vm& vm : m_vms) {
    if (vm.m_client) {
      vm.m_client->AddSeeds(m_seeds);
    }
  }
  return m_vms.size() - 1;
}

void
MembershipModel::LoseAnswers(std::size_t aVm, std::size_t aCount)
{
  m_vms[aVm].m_answersToLose = aCount;
}

bool
MembershipModel::CanLoseDisk(std::size_t aVm) const
{
  const std::size_t leader = LeaderVm();
  if (leader == m_vms.size()) {
    return false;
  }
  const Replica& replica = ReplicaOf(m_vms[leader]);
  // Counts this VM also while it has no vote: its promotion may be on its way.
  std::size_t lost = 1;
  std::size_t kept = 0;
  for (const auto& member : replica.Members().members) {
    const std::size_t vm = VmOf(member->replica);
    const bool isKept = vm < m_vms.size() && vm != aVm;
    lost += member->voter && vm == m_vms.size() ? 1 : 0;
    kept += member->voter && isKept ? 1 : 0;
  }
  return replica.CommitIndex() == replica.LastIndex() && lost <= m_target / 2 &&
         kept >= QuorumSize(replica.Members());
}

bool
MembershipModel::IsImpaired(std::size_t aVm) const
{
  const Vm& vm = m_vms[aVm];
  if (vm.m_gone || !IsUp(vm) || IsFrozen(vm)) {
    return true;
  }
  for (const Vm& other : m_vms) {
    if (m_cluster.IsLinkCut(vm.m_id, other.m_id)) {
      return true;
    }
  }
  return false;
}

void
MembershipModel::HealAndWait()
{
  m_cluster.HealLinks();
  for (Vm& vm : m_vms) {
    Node& node = m_cluster.At(vm.m_id);
    node.m_frozenUntil = std::min(node.m_frozenUntil, m_cluster.Now());
    node.m_downUntil = std::min(node.m_downUntil, m_cluster.Now());
    vm.m_downUntil = std::min(vm.m_downUntil, m_cluster.Now());
    vm.m_answersToLose = 0;
  }
  Run(kReturnTime);
}

std::size_t
MembershipModel::VmAt(const SocketAddress& aAddress) const
{
  return std::find_if(
           m_vms.begin(),
           m_vms.end(),
           [&](const Vm& aVm) { return aVm.m_address == aAddress; }) -
         m_vms.begin();
}

std::size_t
MembershipModel::VmOf(std::uint64_t aId) const
{
  return std::find_if(m_vms.begin(),
                      m_vms.end(),
                      [&](const Vm& aVm) {
                        return aVm.m_id == aId && !aVm.m_gone &&
                               !aVm.m_diskLost;
                      }) -
         m_vms.begin();
}

std::size_t
MembershipModel::LeaderVm() const
{
  const std::uint64_t leader = m_cluster.Leader();
  return leader == 0 ? m_vms.size() : VmOf(leader);
}

bool
MembershipModel::IsUp(const Vm& aVm) const
{
  return !aVm.m_gone && !aVm.m_diskLost &&
         m_cluster.At(aVm.m_id).m_replica != nullptr;
}

bool
MembershipModel::IsFrozen(const Vm& aVm) const
{
  return m_cluster.Now() < m_cluster.At(aVm.m_id).m_frozenUntil;
}

const Replica&
MembershipModel::ReplicaOf(const Vm& aVm) const
{
  return *m_cluster.At(aVm.m_id).m_replica;
}

} // namespace parsleycove::test
