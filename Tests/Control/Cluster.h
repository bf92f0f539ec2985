// Three control replicas in this process, over loopback and temporary folders.
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

// A folder that goes away with its object.
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

// An answer with its error, as a handler gets them.
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

  // Replicas count from 0 here; their identities from 1.
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
  // Where others reach it: its relay, if it has one.
  SocketAddress Address(std::size_t aReplica) const;
  // Lets everyone reach this replica through a relay; before the first start.
  FreezableRelay& AddRelay(std::size_t aReplica);
  // Adds a replica that is in no membership yet.
  std::size_t AddSpare(std::uint64_t aReplica, const std::string& aZone);

  // A client of the given zone that knows these replicas.
  ControlClientOptions ClientOptions(const std::string& aVm,
                                     const std::string& aZone) const;
  // Waits for a leader and returns it.
  std::size_t WaitForLeader();

private:
  TemporaryFolder m_folder;
  std::vector<ReplicaServiceOptions> m_options;
  std::map<std::size_t, FreezableRelay> m_relays;
  std::vector<std::unique_ptr<ReplicaService>> m_services;
};

// A port of 127.0.0.1 that was free a moment ago.
std::uint16_t
FindFreePort();

// Zone of the replica with this place: zone-a, zone-b, and so on.
std::string
ZoneOf(std::size_t aReplica);

// Waits between looks for the condition on a condition variable that nothing
// signals; false at the deadline that only a failing test reaches.
bool
WaitUntil(const std::function<bool()>& aCondition);

TimePoint
TestDeadline();

// A configuration change that puts one class of work.
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

// Calls for a change of the group; true when it was made, with the reason in
// aFault otherwise.
bool
ChangeGroup(const std::function<void(ControlPort::AdminHandler)>& aCall,
            std::string* aFault = nullptr);

} // namespace parsleycove
