// The real processes of a soak.
#include "Soak/SoakFleet.h"

#include <filesystem>
#include <fstream>
#include <utility>

#include <boost/json.hpp>

namespace parsleycove {

namespace {

constexpr std::uint16_t kCallPort = 18600;
constexpr std::uint16_t kReadinessPort = 18601;
constexpr std::uint16_t kPeerPort = 18602;

// Loopback networks of fleets with different seeds.
constexpr std::uint64_t kFirstNetwork = 100;
constexpr std::uint64_t kNetworks = 100;
// How long a stopping VM still serves callers; half of the seeds have the short
// time, so that a VM stops several times within one run.
constexpr int kLongDrainMs = 3000;
constexpr int kShortDrainMs = 700;

} // namespace

std::string
SoakFleet::ControlIp(std::size_t aVm) const
{
  return "127." + std::to_string(kFirstNetwork + m_seed % kNetworks) + ".1." +
         std::to_string(aVm + 1);
}

std::string
SoakFleet::EntryIp(std::size_t aVm) const
{
  return "127." + std::to_string(kFirstNetwork + m_seed % kNetworks) + ".2." +
         std::to_string(aVm + 1);
}

SoakFleet::SoakFleet(const std::string& aProgram,
                     std::string aFolder,
                     std::size_t aEntries,
                     std::uint64_t aSeed,
                     std::vector<std::string> aMoreSettings)
  : m_folder(std::move(aFolder))
  , m_seed(aSeed)
  , m_moreSettings(std::move(aMoreSettings))
{
  for (std::size_t vm = 0; vm < kSoakControls; ++vm) {
    std::filesystem::create_directories(FolderOf(vm));
    m_controls.push_back(std::make_unique<SoakProcess>(
      aProgram,
      ControlSettings(vm, true),
      m_folder + "/control-" + std::to_string(vm) + ".log"));
  }
  for (std::size_t vm = 0; vm < aEntries; ++vm) {
    m_entries.push_back(std::make_unique<SoakProcess>(
      aProgram,
      EntrySettings(vm),
      m_folder + "/entry-" + std::to_string(vm) + ".log"));
  }
}

std::string
SoakFleet::FolderOf(std::size_t aVm) const
{
  return m_folder + "/data-" + std::to_string(aVm);
}

std::string
SoakFleet::Seeds() const
{
  std::string seeds;
  for (std::size_t vm = 0; vm < kSoakControls; ++vm) {
    seeds += (vm == 0 ? "" : ",") + ControlAddress(vm).ToString();
  }
  return seeds;
}

std::vector<std::string>
SoakFleet::Add(std::vector<std::string> aSettings) const
{
  aSettings.insert(
    aSettings.end(), m_moreSettings.begin(), m_moreSettings.end());
  return aSettings;
}

std::vector<std::string>
SoakFleet::ControlSettings(std::size_t aVm, bool aIsFirstStart) const
{
  const SocketAddress listen = ControlAddress(aVm);
  return Add({ "PARSLEYCOVE_ROLE=control",
               "PARSLEYCOVE_VM=control-" + std::to_string(aVm),
               "PARSLEYCOVE_ZONE=zone-a",
               "PARSLEYCOVE_LISTEN=" + listen.ToString(),
               "PARSLEYCOVE_SEEDS=" + Seeds(),
               "PARSLEYCOVE_PEER_PORT=" + std::to_string(kPeerPort),
               "PARSLEYCOVE_DATA_FOLDER=" + FolderOf(aVm),
               "PARSLEYCOVE_CONTROL_LISTEN=" + ControlIp(aVm) + ":" +
                 std::to_string(kPeerPort),
               std::string("PARSLEYCOVE_FIRST_START=") +
                 (aIsFirstStart ? "true" : "false"),
               "PARSLEYCOVE_TOLERATED_LOSSES=1",
               "PARSLEYCOVE_CONFIG_LEASE_MS=4200",
               "PARSLEYCOVE_ENDPOINT_LEASE_MS=6000",
               "PARSLEYCOVE_LOG_FILE=-" });
}

std::vector<std::string>
SoakFleet::EntrySettings(std::size_t aVm) const
{
  return Add(
    { "PARSLEYCOVE_ROLE=entry",
      "PARSLEYCOVE_VM=entry-" + std::to_string(aVm),
      "PARSLEYCOVE_ZONE=zone-a",
      "PARSLEYCOVE_LISTEN=" + EntryAddress(aVm).ToString(),
      "PARSLEYCOVE_READINESS_LISTEN=" + ReadinessAddress(aVm).ToString(),
      "PARSLEYCOVE_SEEDS=" + Seeds(),
      "PARSLEYCOVE_PEER_PORT=" + std::to_string(kPeerPort),
      "PARSLEYCOVE_CONFIG_LEASE_MS=4200",
      "PARSLEYCOVE_TAKEOVER_LISTEN=" + EntryIp(aVm) + ":" +
        std::to_string(kPeerPort),
      "PARSLEYCOVE_RETRY_RATIO=0.2",
      "PARSLEYCOVE_RETRY_SLACK=200",
      "PARSLEYCOVE_DRAIN_GRACE_MS=" +
        std::to_string(m_seed % 2 == 0 ? kLongDrainMs : kShortDrainMs),
      "PARSLEYCOVE_STOP_GRACE_MS=" + std::to_string(kSoakStopGraceMs),
      "PARSLEYCOVE_LOG_FILE=-" });
}

SocketAddress
SoakFleet::ControlAddress(std::size_t aVm) const
{
  return { ControlIp(aVm), kCallPort };
}

SocketAddress
SoakFleet::EntryAddress(std::size_t aVm) const
{
  return { EntryIp(aVm), kCallPort };
}

SocketAddress
SoakFleet::ReadinessAddress(std::size_t aVm) const
{
  return { EntryIp(aVm), kReadinessPort };
}

void
SoakFleet::StartAll()
{
  for (const auto& process : m_controls) {
    process->Start();
  }
  for (const auto& process : m_entries) {
    process->Start();
  }
}

void
SoakFleet::WipeDisk(std::size_t aVm)
{
  std::filesystem::remove_all(FolderOf(aVm));
  std::filesystem::create_directories(FolderOf(aVm));
}

void
SoakFleet::ReadPassedOn(
  const std::function<void(const std::string&, const std::string&)>& aNote)
  const
{
  for (std::size_t vm = 0; vm < m_entries.size(); ++vm) {
    std::ifstream log(m_folder + "/entry-" + std::to_string(vm) + ".log");
    for (std::string line; std::getline(log, line);) {
      if (line.find("\"request_passed_on\"") == std::string::npos) {
        continue;
      }
      boost::system::error_code error;
      const boost::json::value entry = boost::json::parse(line, error);
      if (!error) {
        aNote(std::string(entry.at("id").as_string()),
              std::string(entry.at("to").as_string()));
      }
    }
  }
}

void
SoakFleet::Revive()
{
  for (std::size_t vm = 0; vm < kSoakControls; ++vm) {
    if (!m_controls[vm]->IsRunning()) {
      m_controls[vm]->SetSettings(ControlSettings(vm, false));
      m_controls[vm]->Start();
    }
  }
  for (const auto& process : m_entries) {
    if (!process->IsRunning()) {
      process->Start();
    }
  }
}

} // namespace parsleycove
