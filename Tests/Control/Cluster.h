// Test fixture: control replicas (three by default) in this process, with
// loopback connections and temporary folders.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Control/ControlClient.h"
#include "Control/FreezableRelay.h"
#include "Control/ReplicaService.h"

namespace parsleycove {

// A folder that is deleted by the destructor.
class TemporaryFolder
{
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& Path() const { return m_path; }

private:
  std::string m_path;
};

// The value and the error that a handler of ControlPort receives.
template<typename Value>
struct Answer
{
  std::optional<Value> m_value;
  ControlReason m_reason;
};

class Cluster
{
public:
  explicit Cluster(std::size_t aReplicas = 3);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // aReplica is an index that starts at 0; replica identities start at 1.
  void Start(std::size_t aReplica, bool aBootstrap = false);
  void Stop(std::size_t aReplica);
  bool IsRunning(std::size_t aReplica) const;
  ReplicaService& Replica(std::size_t aReplica)
  {
    return *m_services[aReplica];
  }
  ReplicaServiceOptions& Options(std::size_t aReplica)
  {
    return m_options[aReplica];
  }
  // Returns the address for clients and peers: that of the relay if there is
  // one.
  SocketAddress Address(std::size_t aReplica) const;
  // Puts a relay in front of this replica; Address() then returns the relay's
  // address. Call before the first Start().
  FreezableRelay& AddRelay(std::size_t aReplica);
  // Adds a replica that is not a member of the group, and returns its index.
  std::size_t AddSpare(std::uint64_t aReplica, const std::string& aZone);

  // Returns options for a client in aZone, with all replicas as seeds.
  ControlClientOptions ClientOptions(const std::string& aVm,
                                     const std::string& aZone) const;
  // Waits for a leader and returns its index.
  std::size_t WaitForLeader();

private:
  TemporaryFolder m_folder;
  std::vector<ReplicaServiceOptions> m_options;
  std::map<std::size_t, FreezableRelay> m_relays;
  std::vector<std::unique_ptr<ReplicaService>> m_services;
};

// Returns a port of 127.0.0.1 that was free during the call. Another process
// may take it before it is used.
std::uint16_t
FindFreePort();

// Returns the zone of the replica at this index: zone-a, zone-b, and so on.
std::string
ZoneOf(std::size_t aReplica);

// Polls the condition. Returns false if it is still false at the deadline,
// which only a failing test reaches.
bool
WaitUntil(const std::function<bool()>& aCondition);

TimePoint
TestDeadline();

// Returns a configuration change that puts one work class.
state::CommandT
MakeChange(const std::string& aChangeId,
           std::uint64_t aBaseRevision,
           const std::string& aClass);

state::CommandT
MakeReserve(const std::string& aKey, const std::string& aGateway);

state::CommandT
MakeAnnounce(const std::string& aId, std::uint64_t aIncarnation);

Answer<state::CommandResultT>
Propose(ControlPort& aPort, state::CommandT aCommand);

Answer<state::CommandResultT>
ProposeUntil(ControlPort& aPort, state::CommandT aCommand, TimePoint aDeadline);

Answer<state::ActionRecordT>
ReadAction(ControlPort& aPort, const std::string& aKey);

Answer<feed::StatusReplyT>
ReadStatus(ControlPort& aPort);

// Requests a membership change by aCall and waits for the answer. Returns true
// if the change was made; otherwise stores the reason in aFault.
bool
ChangeGroup(const std::function<void(ControlPort::AdminHandler)>& aCall,
            std::string* aFault = nullptr);

} // namespace parsleycove
