// Control VMs with simulated time, network and disks: the replicas of
// TestCluster, the leader's repair of the membership, and the clients that keep
// the replicas in the group.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Control/MembershipRepair.h"
#include "Control/ModelClient.h"
#include "TestCluster.h"

namespace parsleycove::test {

// The availability zones of the founders, in turn.
struct ModelZones
{
  std::vector<std::string> m_zones{ "a", "b", "c" };
  // Otherwise the founders know each other by address only.
  bool m_areKnown = true;
};

// VMs have numbers from 0 on, which stay the same for a lost disk and a new
// identity. Not modelled: a replica that keeps its disk and changes its
// address.
class MembershipModel final : public ModelNetwork
{
public:
  // Starts a group of aTarget VMs.
  MembershipModel(std::size_t aTarget,
                  std::uint64_t aSeed,
                  const ReplicaOptions& aOptions = {},
                  const ModelZones& aZones = {});

  void Run(Duration aFor);

  // Faults, each until it is over or healed.
  void Cut(std::size_t aVm, Duration aFor); // from all other VMs
  void CutLink(std::size_t aLeft, std::size_t aRight, Duration aFor);
  void Freeze(std::size_t aVm, Duration aFor);
  void Stop(std::size_t aVm, Duration aFor); // keeps its disk
  void LoseDisk(std::size_t aVm, Duration aDownFor);
  // A new VM at another address takes the place of this one for good, also
  // among the seeds of the settings. Returns its number.
  std::size_t Replace(std::size_t aVm);
  std::size_t Replace(std::size_t aVm, const std::string& aZone);
  // Starts a VM beyond the target. Returns its number.
  std::size_t Join(const std::string& aZone);
  // The calls of this VM are carried out, but the next aCount answers are lost.
  void LoseAnswers(std::size_t aVm, std::size_t aCount);

  // Returns whether the loss of this disk is one that the group tolerates: a
  // majority of the voters keep theirs, and less than half of the target is
  // lost and not repaired yet.
  bool CanLoseDisk(std::size_t aVm) const;
  // Returns whether some VM is under a fault now.
  bool IsImpaired(std::size_t aVm) const;
  std::size_t CountVms() const { return m_vms.size(); }
  bool IsGone(std::size_t aVm) const { return m_vms[aVm].m_gone; }
  std::size_t LeaderVm() const; // CountVms() if no VM leads

  // Ends all faults and runs on for 10 s.
  void HealAndWait();
  // Returns whether the leader's members have at least the target of voters
  // that run and hold their disks, and bear as many losses at once as the
  // target of voters alone.
  bool HasReturned() const;
  // Returns whether some zone has a majority of the leader's voters.
  bool IsHeldByOneZone() const;
  // Whether a value is committed and all that was acknowledged is kept.
  bool KeepsWhatWasAcknowledged();
  // Returns why safety was violated, or an empty text.
  std::string FindViolation() const;
  std::string Describe() const;

  // ModelNetwork
  LinkState StateOf(std::size_t aFromVm,
                    const SocketAddress& aTo) const override;
  feed::WelcomeT DescribeGroup(const SocketAddress& aAt) const override;
  bool IsConfirmed(const SocketAddress& aAt) const override;
  CallAnswer ReadStatus(std::size_t aFromVm, const SocketAddress& aAt) override;
  CallAnswer AddReplica(std::size_t aFromVm,
                        const SocketAddress& aAt,
                        const feed::AddReplicaT& aSelf) override;
  CallAnswer PollAddition(std::size_t aFromVm) override;

private:
  // An addition that was proposed and is not answered yet.
  struct Addition
  {
    std::size_t m_atVm = 0;
    std::uint64_t m_id = 0;
    std::uint64_t m_term = 0;
    std::uint64_t m_index = 0;
  };
  struct Vm
  {
    std::uint64_t m_id = 0; // of its replica
    std::string m_zone;
    SocketAddress m_address;
    bool m_gone = false;
    bool m_diskLost = false; // and no new replica started yet
    TimePoint m_downUntil{};
    MembershipRepair m_repair;
    std::uint64_t m_ledTerm = 0;
    std::unique_ptr<ModelClient> m_client;
    std::optional<Addition> m_addition;
    std::size_t m_answersToLose = 0;
  };

  void AddVm(std::uint64_t aId, const std::string& aZone);
  void StartClient(std::size_t aVm);
  void Step();
  void StepVm(std::size_t aVm);
  void Repair(std::size_t aVm, bool aAtInterval);
  std::size_t VmAt(const SocketAddress& aAddress) const;
  std::size_t VmOf(std::uint64_t aId) const; // CountVms() for a lost identity
  bool IsUp(const Vm& aVm) const;
  bool IsFrozen(const Vm& aVm) const;
  const Replica& ReplicaOf(const Vm& aVm) const;
  CallAnswer Deliver(std::size_t aToVm, feed::AdminReplyT aReply);

  const std::size_t m_target;
  TestCluster m_cluster;
  std::vector<Vm> m_vms;
  std::vector<SocketAddress> m_seeds;
  TimePoint m_nextMaintenance{};
  TimePoint m_nextValue{};
};

} // namespace parsleycove::test
