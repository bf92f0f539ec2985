// The real processes of a soak: control VMs with a data folder each, and entry
// VMs, each at an IP number of its own on the loopback interface.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Base/SocketAddress.h"
#include "Soak/SoakProcess.h"

namespace parsleycove {

inline constexpr std::size_t kSoakControls = 3;
// An entry VM ends so long after the signal to stop at the latest.
inline constexpr int kSoakStopGraceMs = 8000;

class SoakFleet
{
public:
  // Fleets whose seeds differ by less than 100 may run at the same time.
  SoakFleet(const std::string& aProgram,
            std::string aFolder,
            std::size_t aEntries,
            std::uint64_t aSeed,
            std::vector<std::string> aMoreSettings = {});

  void StartAll();
  SoakProcess& Control(std::size_t aVm) { return *m_controls[aVm]; }
  SoakProcess& Entry(std::size_t aVm) { return *m_entries[aVm]; }
  SocketAddress ControlAddress(std::size_t aVm) const;
  SocketAddress EntryAddress(std::size_t aVm) const;
  SocketAddress ReadinessAddress(std::size_t aVm) const;
  // A control VM that must not run comes up again without its data.
  void WipeDisk(std::size_t aVm);
  // Calls aNote with the id of each request that an entry VM has passed on, and
  // with the VM that it went to, as the entry VMs' logs tell.
  void ReadPassedOn(const std::function<void(const std::string&,
                                             const std::string&)>& aNote) const;
  // Every process that is not running is started again.
  void Revive();

private:
  std::string FolderOf(std::size_t aVm) const;
  std::vector<std::string> ControlSettings(std::size_t aVm,
                                           bool aIsFirstStart) const;
  std::vector<std::string> Add(std::vector<std::string> aSettings) const;
  std::vector<std::string> EntrySettings(std::size_t aVm) const;
  std::string Seeds() const;

  std::string ControlIp(std::size_t aVm) const;
  std::string EntryIp(std::size_t aVm) const;

  const std::string m_folder;
  const std::uint64_t m_seed;
  // Of each process.
  const std::vector<std::string> m_moreSettings;
  std::vector<std::unique_ptr<SoakProcess>> m_controls;
  std::vector<std::unique_ptr<SoakProcess>> m_entries;
};

} // namespace parsleycove
