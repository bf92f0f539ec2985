// The checked settings of one process.
#include "Daemon/DaemonSettings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <string_view>
#include <utility>

#include "Base/EnumTable.h"
#include "Daemon/SettingChecker.h"
#include "Routing/Runner.h"

namespace parsleycove {

namespace {

std::vector<std::string_view>
Split(std::string_view aText, char aMark)
{
  std::vector<std::string_view> parts;
  while (!aText.empty()) {
    const auto end = aText.find(aMark);
    parts.push_back(aText.substr(0, end));
    aText = end == std::string_view::npos ? std::string_view{}
                                          : aText.substr(end + 1);
  }
  return parts;
}

std::optional<ReplicaSeed>
ParseReplicaSeed(std::string_view aText)
{
  constexpr std::size_t kParts = 4;
  const std::vector<std::string_view> parts = Split(aText, '@');
  if (parts.size() != kParts) {
    return std::nullopt;
  }
  ReplicaSeed seed;
  const std::string_view id = parts[0];
  const auto [stop, error] =
    std::from_chars(id.data(), id.data() + id.size(), seed.m_replica);
  const auto address = SocketAddress::Parse(parts[3]);
  const bool isNumber = error == std::errc{} && stop == id.data() + id.size();
  const bool isComplete = isNumber && seed.m_replica > 0 && address &&
                          !parts[1].empty() && !parts[2].empty();
  if (!isComplete) {
    return std::nullopt;
  }
  seed.m_vm = parts[1];
  seed.m_zone = parts[2];
  seed.m_address = *address;
  return seed;
}

GatewayOptions
CheckGateway(const SettingReader& aReader, SettingChecker& aChecker)
{
  constexpr std::uint64_t kMaxThreads = 64;
  constexpr std::uint64_t kMaxConnections = 1'000'000;
  constexpr std::uint64_t kMinBytes = 1024;
  constexpr std::uint64_t kMaxHeaderBytes = 1U << 20;
  constexpr std::uint64_t kMaxBodyBytes = 64U << 20;
  constexpr std::uint64_t kMinIdleMs = 100;
  constexpr std::uint64_t kMaxIdleMs = 3'600'000;
  constexpr std::uint64_t kMaxGraceMs = 600'000;
  // An endpoint may miss two renewals in a row.
  constexpr int kRenewalsPerLease = 3;
  GatewayOptions options;
  options.m_vm = aChecker.Name(SettingId::Vm);
  options.m_zone = aChecker.Name(SettingId::Zone);
  options.m_listen = aChecker.Address(SettingId::Listen);
  options.m_operatorKeyHash = aChecker.Hash(SettingId::OperatorKeyHash);
  options.m_threads = aChecker.Number(SettingId::Threads, 1, kMaxThreads);
  options.m_maxConnections =
    aChecker.Number(SettingId::MaxConnections, 1, kMaxConnections);
  options.m_maxHeaderBytes =
    aChecker.Number(SettingId::MaxHeaderBytes, kMinBytes, kMaxHeaderBytes);
  options.m_maxBodyBytes =
    aChecker.Number(SettingId::MaxBodyBytes, kMinBytes, kMaxBodyBytes);
  options.m_idleTimeout = aChecker.Milliseconds(
    SettingId::IdleTimeoutMs, kMinIdleMs, kMaxIdleMs, Rounding::Up);
  options.m_drainGrace = aChecker.Milliseconds(
    SettingId::DrainGraceMs, 0, kMaxGraceMs, Rounding::Up);
  options.m_renewInterval =
    aChecker.Milliseconds(
      SettingId::EndpointLeaseMs, 1000, kMaxGraceMs, Rounding::Down) /
    kRenewalsPerLease;
  if (aReader.TextOf(SettingId::OperatorKeyHash).empty()) {
    options.m_operatorKeyHash.clear();
  }
  return options;
}

std::vector<ReplicaSeed>
CheckBootstrap(const SettingReader& aReader, SettingChecker& aChecker)
{
  std::vector<ReplicaSeed> seeds;
  for (const std::string_view part :
       Split(aReader.TextOf(SettingId::Bootstrap), ',')) {
    if (auto seed = ParseReplicaSeed(part)) {
      seeds.push_back(std::move(*seed));
    } else {
      aChecker.Fail(SettingId::Bootstrap);
    }
  }
  return seeds;
}

std::optional<ReplicaServiceOptions>
CheckReplica(const SettingReader& aReader, SettingChecker& aChecker)
{
  constexpr std::uint64_t kMaxLeaseMs = 600'000;
  if (!aReader.IsGiven(SettingId::DataFolder)) {
    for (const SettingId id : { SettingId::ControlListen,
                                SettingId::ReplicaId,
                                SettingId::Bootstrap }) {
      if (aReader.IsGiven(id)) {
        aChecker.FailWith("--" + std::string(RowOf(id).m_name) +
                          " is given without --data-folder: expected both, "
                          "or neither");
      }
    }
    return std::nullopt;
  }
  ReplicaServiceOptions options;
  options.m_dataFolder = aReader.TextOf(SettingId::DataFolder);
  std::error_code ignored;
  if (!std::filesystem::is_directory(options.m_dataFolder, ignored)) {
    aChecker.Fail(SettingId::DataFolder);
  }
  options.m_vm = aReader.TextOf(SettingId::Vm);
  options.m_zone = aReader.TextOf(SettingId::Zone);
  // Role control chooses its identity by its folder.
  if (aReader.IsGiven(SettingId::ReplicaId) ||
      aReader.TextOf(SettingId::Role) != "control") {
    options.m_replica = aChecker.Number(SettingId::ReplicaId, 1, UINT64_MAX);
  }
  options.m_cluster = aChecker.Number(SettingId::ClusterId, 1, UINT64_MAX);
  options.m_listen = aChecker.Address(SettingId::ControlListen);
  options.m_bootstrap = CheckBootstrap(aReader, aChecker);
  options.m_endpointLease = aChecker.Milliseconds(
    SettingId::EndpointLeaseMs, 1000, kMaxLeaseMs, Rounding::Down);
  options.m_seed = options.m_replica;
  return options;
}

ControlClientOptions
CheckClient(const SettingReader& aReader,
            const std::optional<ReplicaServiceOptions>& aReplica,
            SettingChecker& aChecker)
{
  ControlClientOptions options;
  for (const std::string_view part :
       Split(aReader.TextOf(SettingId::Seeds), ',')) {
    if (auto address = SocketAddress::Parse(part)) {
      if (aReader.IsGiven(SettingId::PeerPort)) {
        address->m_port = static_cast<std::uint16_t>(
          aChecker.Number(SettingId::PeerPort, 1, UINT16_MAX));
      }
      options.m_seeds.push_back(*address);
    } else {
      aChecker.Fail(SettingId::Seeds);
    }
  }
  if (aReplica) {
    options.m_seeds.push_back(aReplica->m_listen);
    for (const ReplicaSeed& seed : aReplica->m_bootstrap) {
      options.m_seeds.push_back(seed.m_address);
    }
  }
  if (options.m_seeds.empty()) {
    aChecker.FailWith("--seeds (PARSLEYCOVE_SEEDS) is not given: expected the "
                      "address of a control replica, or --data-folder");
  }
  return options;
}

// A change is in force on a VM that reaches the group within 2 s, also on one
// whose replica has lost the others: it must notice and turn to another one.
constexpr Duration kConfirmInterval = std::chrono::milliseconds(300);
constexpr Duration kPingInterval = std::chrono::milliseconds(300);
constexpr Duration kStaleLimit = std::chrono::milliseconds(900);
// Of a VM's link to a replica: pings go every 300 ms. Two dead replicas in a
// row must be passed over within the 2 s in which a version comes into force.
constexpr Duration kFeedHeartbeat = std::chrono::milliseconds(200);
constexpr Duration kFeedSilence = std::chrono::milliseconds(700);

constexpr std::array<EnumName<DaemonRole>, 3> kRoleNames{ {
  { DaemonRole::Gateway, "gateway" },
  { DaemonRole::Entry, "entry" },
  { DaemonRole::Control, "control" },
} };

ForwardOptions
CheckForward(const SettingReader& aReader,
             SettingChecker& aChecker,
             std::uint64_t aEpoch)
{
  constexpr double kMaxSlack = 1e6;
  constexpr std::uint64_t kMaxWaiting = 100'000;
  constexpr std::uint64_t kMaxMs = 600'000;
  ForwardOptions options;
  options.m_vm = aReader.TextOf(SettingId::Vm);
  options.m_zone = aReader.TextOf(SettingId::Zone);
  options.m_seed = aEpoch ^ HashId(options.m_vm);
  options.m_listen = aChecker.Address(SettingId::Listen);
  options.m_readiness = aChecker.Address(SettingId::ReadinessListen);
  if (aReader.IsGiven(SettingId::TakeoverListen)) {
    options.m_takeover = aChecker.Address(SettingId::TakeoverListen);
  }
  options.m_drainGrace =
    aChecker.Milliseconds(SettingId::DrainGraceMs, 0, kMaxMs, Rounding::Up);
  options.m_stopGrace =
    aChecker.Milliseconds(SettingId::StopGraceMs, 1000, kMaxMs, Rounding::Down);
  options.m_pathQueue.m_maxWaiting =
    aChecker.Number(SettingId::MaxWaiting, 1, kMaxWaiting);
  options.m_retries.m_ratio = aChecker.Decimal(SettingId::RetryRatio, 0, 1);
  options.m_retries.m_slack =
    std::floor(aChecker.Decimal(SettingId::RetrySlack, 0, kMaxSlack));
  options.m_retries.m_window =
    aChecker.Milliseconds(SettingId::RetryWindowMs, 100, kMaxMs, Rounding::Up);
  options.m_promptSpread.m_isEnabled = aChecker.Flag(SettingId::PromptSpread);
  return options;
}

// The lease ends before the revocation limit, because a VM counts it from the
// sending of a question and the request may wait on its way to an endpoint.
Duration
CheckConfigLease(const SettingReader& aReader, SettingChecker& aChecker)
{
  constexpr std::uint64_t kMinLeaseMs = 500;
  constexpr std::uint64_t kMaxLeaseMs = 600'000;
  constexpr int kLeasePercent = 84;
  if (!aReader.IsGiven(SettingId::RevocationLimitMs)) {
    return aChecker.Milliseconds(
      SettingId::ConfigLeaseMs, kMinLeaseMs, kMaxLeaseMs, Rounding::Down);
  }
  const Duration limit = aChecker.Milliseconds(
    SettingId::RevocationLimitMs, kMinLeaseMs, kMaxLeaseMs, Rounding::Down);
  return limit * kLeasePercent / 100;
}

void
CheckGroup(const SettingReader& aReader,
           SettingChecker& aChecker,
           DaemonSettings& aSettings)
{
  constexpr std::uint64_t kMaxLosses = 3;
  if (!aSettings.m_replica) {
    aChecker.FailWith("--role is \"control\" without --data-folder: expected "
                      "both");
    return;
  }
  ReplicaServiceOptions& replica = *aSettings.m_replica;
  const auto voters =
    2 * aChecker.Number(SettingId::ToleratedLosses, 0, kMaxLosses) + 1;
  replica.m_targetVoters = voters;
  replica.m_minDocumentVoters = voters;
  replica.m_configLease = CheckConfigLease(aReader, aChecker);
  // Zones are about a millisecond apart and a sync takes half of one; a VM
  // with a tenth of a second's quota may pause that long.
  replica.m_heartbeatInterval = std::chrono::milliseconds(60);
  replica.m_electionTimeout = std::chrono::milliseconds(350);
  replica.m_leaderLease = std::chrono::milliseconds(250);
  replica.m_memberTimeout = std::chrono::seconds(1);
  replica.m_confirmInterval = kConfirmInterval;
  ReplicaStart& start = aSettings.m_start;
  start.m_folder = replica.m_dataFolder;
  start.m_own = replica.m_listen;
  start.m_isFirstStart = aChecker.Flag(SettingId::FirstStart);
  for (const SocketAddress& seed : aSettings.m_client.m_seeds) {
    const auto& known = start.m_founders;
    if (std::find(known.begin(), known.end(), seed) == known.end()) {
      start.m_founders.push_back(seed);
    }
  }
  // The own address is among the client's seeds in any case.
  if (aReader.TextOf(SettingId::Seeds).find(replica.m_listen.m_address + ":") ==
      std::string::npos) {
    std::erase(start.m_founders, replica.m_listen);
  }
  aSettings.m_client.m_takesCallers = false;
}

} // namespace

std::optional<DaemonSettings>
DaemonSettings::Check(const SettingReader& aReader,
                      std::uint64_t aEpoch,
                      SettingReason& aReason)
{
  constexpr std::uint64_t kMinBudgetBytes = 64U << 10;
  constexpr std::uint64_t kMaxBudgetBytes = 4ULL << 30;
  SettingChecker checker(aReader);
  DaemonSettings settings;
  settings.m_gateway = CheckGateway(aReader, checker);
  settings.m_gateway.m_epoch = aEpoch;
  settings.m_replica = CheckReplica(aReader, checker);
  settings.m_client = CheckClient(aReader, settings.m_replica, checker);
  settings.m_client.m_vm = settings.m_gateway.m_vm;
  settings.m_client.m_zone = settings.m_gateway.m_zone;
  settings.m_client.m_epoch = aEpoch;
  settings.m_client.m_seed = aEpoch;
  if (auto role = ValueOf(kRoleNames, aReader.TextOf(SettingId::Role))) {
    settings.m_role = *role;
  } else {
    checker.Fail(SettingId::Role);
  }
  if (settings.m_role != DaemonRole::Gateway) {
    settings.m_client.m_pingInterval = kPingInterval;
    settings.m_client.m_staleLimit = kStaleLimit;
    settings.m_client.m_linkHeartbeat = kFeedHeartbeat;
    settings.m_client.m_silenceLimit = kFeedSilence;
  }
  settings.m_receiveBudgetBytes = checker.Number(
    SettingId::ReceiveBudgetBytes, kMinBudgetBytes, kMaxBudgetBytes);
  if (settings.m_role == DaemonRole::Entry) {
    settings.m_forward = CheckForward(aReader, checker, aEpoch);
    settings.m_forward.m_receiveBudgetBytes = settings.m_receiveBudgetBytes;
    settings.m_forward.m_answerBudgetBytes = checker.Number(
      SettingId::AnswerBudgetBytes, kMinBudgetBytes, kMaxBudgetBytes);
  } else if (settings.m_role == DaemonRole::Control) {
    CheckGroup(aReader, checker, settings);
  }
  if (aReader.IsGiven(SettingId::MetricsListen)) {
    settings.m_metricsListen = checker.Address(SettingId::MetricsListen);
  }
  settings.m_settingsFile = aReader.TextOf(SettingId::SettingsFile);
  if (auto level = ParseLogLevel(aReader.TextOf(SettingId::LogLevel))) {
    settings.m_logLevel = *level;
  } else {
    checker.Fail(SettingId::LogLevel);
  }
  settings.m_logFile = aReader.TextOf(SettingId::LogFile);
  settings.m_traceFile = aReader.TextOf(SettingId::TraceFile);
  if (checker.HasFailed()) {
    aReason = checker.LastReason();
    return std::nullopt;
  }
  return settings;
}

} // namespace parsleycove
