// Measures commits, failover, time to in force and the cost of each gateway.
#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <sys/resource.h>

#include "Control/Cluster.h"

using namespace parsleycove;

namespace {

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

double
ProcessorSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto toSeconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) +
           static_cast<double>(aTime.tv_usec) / 1e6;
  };
  return toSeconds(usage.ru_utime) + toSeconds(usage.ru_stime);
}

double
Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(
    aShare * static_cast<double>(aValues.size() - 1))];
}

// The timings that replicas and clients have without settings.
std::unique_ptr<Cluster>
StartCluster()
{
  auto cluster = std::make_unique<Cluster>();
  for (std::size_t i = 0; i < 3; ++i) {
    const ReplicaServiceOptions defaults;
    ReplicaServiceOptions& options = cluster->Options(i);
    options.m_heartbeatInterval = defaults.m_heartbeatInterval;
    options.m_electionTimeout = defaults.m_electionTimeout;
    options.m_leaderLease = defaults.m_leaderLease;
    options.m_configLease = defaults.m_configLease;
    options.m_linkSilenceLimit = defaults.m_linkSilenceLimit;
    options.m_linkHeartbeat = defaults.m_linkHeartbeat;
  }
  for (std::size_t i = 0; i < 3; ++i) {
    cluster->Start(i, /*aBootstrap=*/true);
  }
  cluster->WaitForLeader();
  return cluster;
}

std::unique_ptr<ControlClient>
Connect(const Cluster& aCluster, std::size_t aNumber, LinkTraffic* aTraffic)
{
  ControlClientOptions options;
  options.m_vm = "gateway-" + std::to_string(aNumber);
  options.m_zone = ZoneOf(aNumber % 3);
  options.m_epoch = 1;
  options.m_seed = aNumber + 1;
  options.m_traffic = aTraffic;
  for (std::size_t i = 0; i < 3; ++i) {
    options.m_seeds.push_back(aCluster.Address(i));
  }
  return std::make_unique<ControlClient>(options);
}

// Keeps a number of proposals under way on one client until told to stop.
class ProposalLoop
{
public:
  ProposalLoop(ControlClient& aClient, std::size_t aProposers)
    : m_client(aClient)
    , m_running(aProposers)
  {
    for (std::size_t i = 0; i < aProposers; ++i) {
      ProposeNext();
    }
  }

  std::vector<double> Finish()
  {
    std::unique_lock lock(m_mutex);
    m_stopping = true;
    m_ended.wait(lock, [&] { return m_running == 0; });
    return m_seconds;
  }

private:
  void ProposeNext()
  {
    const std::string key = "k" + std::to_string(m_count++);
    const TimePoint start = BootClock::now();
    m_client.Propose(
      MakeReserve(key, "bench"),
      TestDeadline(),
      [this, start](const std::optional<state::CommandResultT>& aResult,
                    const ControlReason&) { HandleAnswer(start, aResult); });
  }

  void HandleAnswer(TimePoint aStart,
                    const std::optional<state::CommandResultT>& aResult)
  {
    {
      const std::lock_guard lock(m_mutex);
      if (aResult) {
        m_seconds.push_back(Seconds(BootClock::now() - aStart));
      }
      if (m_stopping) {
        --m_running;
        m_ended.notify_all();
        return;
      }
    }
    ProposeNext();
  }

  ControlClient& m_client;
  std::atomic<std::uint64_t> m_count{ 0 };
  std::mutex m_mutex;
  std::condition_variable m_ended;
  bool m_stopping = false;
  std::size_t m_running;
  std::vector<double> m_seconds;
};

void
WaitFor(Duration aDuration)
{
  const TimePoint end = BootClock::now() + aDuration;
  WaitUntil([&] { return BootClock::now() >= end; });
}

void
MeasureCommits(std::size_t aProposers)
{
  const auto cluster = StartCluster();
  const auto client = Connect(*cluster, 0, nullptr);
  Propose(*client, MakeReserve("warm-up", "bench"));
  const TimePoint start = BootClock::now();
  ProposalLoop loop(*client, aProposers);
  WaitFor(std::chrono::seconds(3));
  const std::vector<double> seconds = loop.Finish();
  const double elapsed = Seconds(BootClock::now() - start);
  std::printf("{\"bench\":\"commits\",\"proposers\":%zu,\"per_second\":%.0f,"
              "\"p50_ms\":%.2f,\"p99_ms\":%.2f}\n",
              aProposers,
              static_cast<double>(seconds.size()) / elapsed,
              Percentile(seconds, 0.5) * 1e3,
              Percentile(seconds, 0.99) * 1e3);
}

void
MeasureFailover(std::size_t aRuns)
{
  std::vector<double> seconds;
  for (std::size_t run = 0; run < aRuns; ++run) {
    const auto cluster = StartCluster();
    const std::size_t leader = cluster->WaitForLeader();
    const auto client = Connect(*cluster, leader + 1, nullptr);
    Propose(*client, MakeReserve("before", "bench"));
    const TimePoint start = BootClock::now();
    cluster->Stop(leader);
    Propose(*client, MakeReserve("after", "bench"));
    seconds.push_back(Seconds(BootClock::now() - start));
  }
  std::printf("{\"bench\":\"failover\",\"runs\":%zu,\"p50_ms\":%.0f,"
              "\"max_ms\":%.0f}\n",
              aRuns,
              Percentile(seconds, 0.5) * 1e3,
              Percentile(seconds, 1) * 1e3);
}

bool
AllHold(const std::vector<std::unique_ptr<ControlClient>>& aClients,
        std::uint64_t aIndex)
{
  return std::all_of(
    aClients.begin(), aClients.end(), [&](const auto& aClient) {
      return aClient->InForceIndex() >= aIndex;
    });
}

void
MeasureGateways(std::size_t aClients)
{
  const auto cluster = StartCluster();
  LinkTraffic traffic;
  std::vector<std::unique_ptr<ControlClient>> clients;
  for (std::size_t i = 0; i < aClients; ++i) {
    clients.push_back(Connect(*cluster, i, &traffic));
  }
  WaitUntil([&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& aClient) {
      return aClient->HasLease(BootClock::now());
    });
  });
  // Past the time in which a new leader knows nothing to be in force.
  WaitFor(std::chrono::seconds(4));

  constexpr double kIdleSeconds = 5;
  double processor = ProcessorSeconds();
  std::uint64_t sent = traffic.m_sentBytes;
  std::uint64_t received = traffic.m_receivedBytes;
  WaitFor(std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(kIdleSeconds)));
  const double idleProcessor = ProcessorSeconds() - processor;
  const double idleSent =
    static_cast<double>(traffic.m_sentBytes - sent) / kIdleSeconds;
  const double idleReceived =
    static_cast<double>(traffic.m_receivedBytes - received) / kIdleSeconds;

  constexpr std::size_t kChanges = 10;
  std::vector<double> seconds;
  processor = ProcessorSeconds();
  sent = traffic.m_sentBytes;
  received = traffic.m_receivedBytes;
  for (std::size_t i = 0; i < kChanges; ++i) {
    const std::string number = std::to_string(i);
    const auto answer =
      Propose(*clients[0], MakeChange("c" + number, i, "class-" + number));
    const TimePoint accepted = BootClock::now();
    WaitUntil([&] { return AllHold(clients, answer.m_value->index); });
    seconds.push_back(Seconds(BootClock::now() - accepted));
  }
  std::printf("{\"bench\":\"gateways\",\"clients\":%zu,"
              "\"idle_sent_bytes_per_s_per_client\":%.0f,"
              "\"idle_received_bytes_per_s_per_client\":%.0f,"
              "\"idle_process_cpu_ms_per_s\":%.2f,"
              "\"in_force_p50_ms\":%.0f,\"in_force_max_ms\":%.0f,"
              "\"change_sent_bytes_per_client\":%.0f,"
              "\"change_received_bytes_per_client\":%.0f,"
              "\"change_process_cpu_ms\":%.2f}\n",
              aClients,
              idleSent / static_cast<double>(aClients),
              idleReceived / static_cast<double>(aClients),
              idleProcessor / kIdleSeconds * 1e3,
              Percentile(seconds, 0.5) * 1e3,
              Percentile(seconds, 1) * 1e3,
              static_cast<double>(traffic.m_sentBytes - sent) / kChanges /
                static_cast<double>(aClients),
              static_cast<double>(traffic.m_receivedBytes - received) /
                kChanges / static_cast<double>(aClients),
              (ProcessorSeconds() - processor) / kChanges * 1e3);
}

} // namespace

int
main()
{
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  for (const std::size_t proposers : { 1, 16, 256 }) {
    MeasureCommits(proposers);
  }
  MeasureFailover(5);
  for (const std::size_t clients : { 1, 10, 50, 200 }) {
    MeasureGateways(clients);
  }
  return EXIT_SUCCESS;
}
