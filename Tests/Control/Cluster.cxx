// Test fixture: control replicas (three by default) in this process, with
// loopback connections and temporary folders.
#include "Control/Cluster.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <iostream>
#include <mutex>
#include <utility>

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace parsleycove {

namespace {

// Ends the test program: without the fixture no test can run.
[[noreturn]] void
Abort(const std::string& aWhy)
{
  std::cerr << "test cluster: " << aWhy << std::endl;
  std::abort();
}

constexpr std::chrono::seconds kTestTimeoutS{ 30 };
constexpr std::chrono::milliseconds kPollIntervalMs{ 5 };
constexpr std::uint64_t kCluster = 77;

ReplicaServiceOptions
MakeOptions(std::uint64_t aReplica,
            const std::string& aZone,
            const std::string& aFolder)
{
  ReplicaServiceOptions options;
  options.m_replica = aReplica;
  options.m_cluster = kCluster;
  options.m_vm = "vm-" + std::to_string(aReplica);
  options.m_zone = aZone;
  options.m_dataFolder = aFolder + "/" + std::to_string(aReplica);
  options.m_listen = { "127.0.0.1", FindFreePort() };
  options.m_heartbeatInterval = std::chrono::milliseconds(30);
  options.m_electionTimeout = std::chrono::milliseconds(300);
  options.m_leaderLease = std::chrono::milliseconds(200);
  options.m_configLease = std::chrono::milliseconds(900);
  options.m_linkSilenceLimit = std::chrono::milliseconds(800);
  options.m_linkHeartbeat = std::chrono::milliseconds(100);
  options.m_seed = aReplica;
  return options;
}

template<typename Value>
Answer<Value>
WaitForAnswer(
  const std::function<
    void(std::function<void(std::optional<Value>, ControlReason)>)>& aCall)
{
  auto promise = std::make_shared<std::promise<Answer<Value>>>();
  auto future = promise->get_future();
  aCall([promise](std::optional<Value> aValue, ControlReason aReason) {
    promise->set_value({ std::move(aValue), std::move(aReason) });
  });
  return future.get();
}

template<typename Body>
state::CommandT
MakeCommand(Body aBody)
{
  state::CommandT command;
  command.body.Set(std::move(aBody));
  return command;
}

} // namespace

TemporaryFolder::TemporaryFolder()
{
  std::string pattern =
    std::filesystem::temp_directory_path() / "parsleycove-XXXXXX";
  m_path = mkdtemp(pattern.data());
}

TemporaryFolder::~TemporaryFolder()
{
  std::filesystem::remove_all(m_path);
}

std::uint16_t
FindFreePort()
{
  // Below the ports that the system gives to outgoing connections: one of these
  // would take the port while a replica is down.
  constexpr unsigned kFirstPort = 12'000;
  constexpr unsigned kPorts = 20'000;
  static std::atomic<unsigned> next{ static_cast<unsigned>(getpid()) * 61 };
  boost::asio::io_context context;
  for (unsigned tries = 0; tries < kPorts; ++tries) {
    const auto port =
      static_cast<std::uint16_t>(kFirstPort + next.fetch_add(1) % kPorts);
    boost::system::error_code error;
    boost::asio::ip::tcp::acceptor acceptor(context);
    acceptor.open(boost::asio::ip::tcp::v4(), error);
    acceptor.bind({ boost::asio::ip::make_address("127.0.0.1"), port }, error);
    if (!error) {
      return port;
    }
  }
  return 0;
}

std::string
ZoneOf(std::size_t aReplica)
{
  return std::string("zone-") + static_cast<char>('a' + aReplica);
}

Cluster::Cluster(std::size_t aReplicas)
{
  for (std::size_t i = 0; i < aReplicas; ++i) {
    m_options.push_back(MakeOptions(i + 1, ZoneOf(i), m_folder.Path()));
  }
  m_services.resize(aReplicas);
}

Cluster::~Cluster() = default;

void
Cluster::Start(std::size_t aReplica, bool aBootstrap)
{
  ReplicaServiceOptions options = m_options[aReplica];
  if (aBootstrap) {
    for (std::size_t i = 0; i < m_options.size(); ++i) {
      const ReplicaServiceOptions& member = m_options[i];
      options.m_bootstrap.push_back(
        { member.m_replica, member.m_vm, member.m_zone, Address(i) });
    }
  }
  ControlServiceReason reason;
  m_services[aReplica] = ReplicaService::Start(options, reason);
  if (!m_services[aReplica]) {
    Abort("replica " + std::to_string(options.m_replica) + ": " +
          reason.m_text);
  }
}

void
Cluster::Stop(std::size_t aReplica)
{
  m_services[aReplica].reset();
}

bool
Cluster::IsRunning(std::size_t aReplica) const
{
  return m_services[aReplica] != nullptr;
}

SocketAddress
Cluster::Address(std::size_t aReplica) const
{
  const auto relay = m_relays.find(aReplica);
  return relay == m_relays.end() ? m_options[aReplica].m_listen
                                 : relay->second.Address();
}

FreezableRelay&
Cluster::AddRelay(std::size_t aReplica)
{
  return m_relays.try_emplace(aReplica, m_options[aReplica].m_listen)
    .first->second;
}

std::size_t
Cluster::AddSpare(std::uint64_t aReplica, const std::string& aZone)
{
  m_options.push_back(MakeOptions(aReplica, aZone, m_folder.Path()));
  m_services.emplace_back();
  return m_options.size() - 1;
}

ControlClientOptions
Cluster::ClientOptions(const std::string& aVm, const std::string& aZone) const
{
  ControlClientOptions options;
  options.m_vm = aVm;
  options.m_zone = aZone;
  options.m_epoch = 1;
  for (std::size_t i = 0; i < m_options.size(); ++i) {
    options.m_seeds.push_back(Address(i));
  }
  options.m_silenceLimit = std::chrono::milliseconds(800);
  options.m_linkHeartbeat = std::chrono::milliseconds(100);
  options.m_pingInterval = std::chrono::milliseconds(100);
  options.m_resendInterval = std::chrono::milliseconds(500);
  options.m_reconnectInterval = std::chrono::milliseconds(20);
  return options;
}

std::size_t
Cluster::WaitForLeader()
{
  std::size_t leader = 0;
  const bool found = WaitUntil([&] {
    for (std::size_t i = 0; i < m_services.size(); ++i) {
      if (m_services[i] && m_services[i]->IsLeader()) {
        leader = i;
        return true;
      }
    }
    return false;
  });
  if (!found) {
    Abort("no leader was elected in time");
  }
  return leader;
}

bool
WaitUntil(const std::function<bool()>& aCondition)
{
  std::mutex mutex;
  std::condition_variable never;
  std::unique_lock lock(mutex);
  const TimePoint deadline = TestDeadline();
  while (!aCondition()) {
    if (BootClock::now() > deadline) {
      return false;
    }
    never.wait_for(lock, kPollIntervalMs);
  }
  return true;
}

TimePoint
TestDeadline()
{
  return BootClock::now() + kTestTimeoutS;
}

state::CommandT
MakeChange(const std::string& aChangeId,
           std::uint64_t aBaseRevision,
           const std::string& aClass)
{
  auto workClass = std::make_unique<state::WorkClassT>();
  workClass->name = aClass;
  workClass->first_token_ms = 1500;
  workClass->token_interval_ms = 40;
  workClass->completion_ms = 30000;
  workClass->success_per_mille = 950;
  state::ApplyChangeT change;
  change.change_id = aChangeId;
  change.base_revision = aBaseRevision;
  change.operator_name = "tester";
  change.unix_ms = 1000;
  change.change = std::make_unique<state::ConfigChangeT>();
  change.change->put_classes.push_back(std::move(workClass));
  return MakeCommand(std::move(change));
}

state::CommandT
MakeReserve(const std::string& aKey, const std::string& aGateway)
{
  state::ReserveActionT reserve;
  reserve.account = "account";
  reserve.key = aKey;
  reserve.fingerprint = "f";
  reserve.gateway = aGateway;
  reserve.gateway_epoch = 1;
  reserve.unix_ms = 1000;
  return MakeCommand(std::move(reserve));
}

state::CommandT
MakeAnnounce(const std::string& aId, std::uint64_t aIncarnation)
{
  auto endpoint = std::make_unique<state::EndpointT>();
  endpoint->id = aId;
  endpoint->incarnation = aIncarnation;
  endpoint->kind = state::EndpointKind::PlainService;
  endpoint->address = "127.0.0.1";
  endpoint->port = 9;
  endpoint->zone = "zone-a";
  endpoint->service = "booking";
  endpoint->slots = 4;
  state::AnnounceEndpointT announce;
  announce.endpoint = std::move(endpoint);
  return MakeCommand(std::move(announce));
}

Answer<state::CommandResultT>
ProposeUntil(ControlPort& aPort, state::CommandT aCommand, TimePoint aDeadline)
{
  return WaitForAnswer<state::CommandResultT>([&](auto aHandler) {
    aPort.Propose(std::move(aCommand), aDeadline, std::move(aHandler));
  });
}

Answer<state::CommandResultT>
Propose(ControlPort& aPort, state::CommandT aCommand)
{
  return ProposeUntil(aPort, std::move(aCommand), TestDeadline());
}

Answer<state::ActionRecordT>
ReadAction(ControlPort& aPort, const std::string& aKey)
{
  return WaitForAnswer<state::ActionRecordT>([&](auto aHandler) {
    aPort.ReadAction("account", aKey, TestDeadline(), std::move(aHandler));
  });
}

Answer<feed::StatusReplyT>
ReadStatus(ControlPort& aPort)
{
  return WaitForAnswer<feed::StatusReplyT>([&](auto aHandler) {
    aPort.ReadStatus(TestDeadline(), std::move(aHandler));
  });
}

bool
ChangeGroup(const std::function<void(ControlPort::AdminHandler)>& aCall,
            std::string* aFault)
{
  const auto answer = WaitForAnswer<feed::AdminReplyT>(
    [&](auto aHandler) { aCall(std::move(aHandler)); });
  const bool isApplied = answer.m_value && answer.m_value->ok;
  if (aFault != nullptr) {
    *aFault = answer.m_value ? answer.m_value->text : answer.m_reason.m_text;
    if (isApplied) {
      aFault->clear();
    }
  }
  return isApplied;
}

} // namespace parsleycove
