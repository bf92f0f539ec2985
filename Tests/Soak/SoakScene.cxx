// The parts of a soak that its faults and its checks share.
#include "Soak/SoakScene.h"

#include <iostream>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace parsleycove {

namespace {

SoakCrashing
DrawCrashing(const SoakOptions& aOptions)
{
  SoakCrashing crashing;
  crashing.m_hasPart = aOptions.m_hasCrashingPart;
  if (aOptions.m_hasCrashingRequest) {
    crashing.m_request =
      aOptions.m_seed % 2 == 0 ? AttemptKind::Stream : AttemptKind::Safe;
  }
  return crashing;
}

} // namespace

SoakScene::SoakScene(SoakOptions aOptions)
  : m_options(std::move(aOptions))
  , m_random(m_options.m_seed)
  , m_fleet(m_options.m_program,
            m_options.m_folder,
            m_options.m_entries,
            m_options.m_seed,
            m_options.m_settings)
{
  m_ledger.SetKey("k1", "account-1");
  m_ledger.SetKey("k2", "account-2");
  std::vector<SoakEntryDoor> doors;
  for (std::size_t vm = 0; vm < m_options.m_entries; ++vm) {
    m_doors.push_back(
      std::make_unique<FaultProxy>(m_context, m_fleet.EntryAddress(vm)));
    doors.push_back(
      { EntryName(vm), m_doors.back()->Address(), m_fleet.EntryAddress(vm) });
  }
  m_operator = std::make_unique<SoakOperator>(m_context, m_ledger, Controls());
  m_callers = std::make_unique<SoakCallers>(m_context,
                                            m_ledger,
                                            std::move(doors),
                                            m_options.m_seed + 1,
                                            DrawCrashing(m_options));
}

std::vector<SocketAddress>
SoakScene::Controls() const
{
  std::vector<SocketAddress> controls;
  for (std::size_t vm = 0; vm < kSoakControls; ++vm) {
    controls.push_back(m_fleet.ControlAddress(vm));
  }
  return controls;
}

std::string
SoakScene::EntryName(std::size_t aVm)
{
  return "entry-" + std::to_string(aVm);
}

void
SoakScene::Say(const std::string& aWhat)
{
  const double at =
    std::chrono::duration<double>(BootClock::now() - m_startedAt).count();
  std::cout << at << " s  " << aWhat << "\n";
}

void
SoakScene::AddBackend(bool aIsEngine)
{
  ++m_backendCount;
  m_backends.push_back(std::make_unique<SoakBackend>(
    m_context,
    m_ledger,
    (aIsEngine ? "engine-" : "plain-") + std::to_string(m_backendCount),
    aIsEngine,
    MixBits(m_options.m_seed) + m_backendCount));
  SoakBackend& backend = *m_backends.back();
  Say(backend.Id() + " is at " + backend.Address());
  if (m_options.m_hasCuts) {
    backend.Proxy().SetCallerFault(
      [this,
       place = m_backends.size() - 1,
       listen = backend.Proxy().Address().m_port](std::uint16_t aPort) {
        return m_cuts.FaultOf(place, aPort, listen);
      });
  }
  backend.Announce(Controls());
}

void
SoakScene::After(Duration aTime, std::function<void()> aTask)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(m_context, aTime);
  timer->async_wait([timer, task = std::move(aTask)](
                      const boost::system::error_code&) { task(); });
}

Duration
SoakScene::Draw(int aLeastMs, int aMostMs)
{
  return std::chrono::milliseconds(
    aLeastMs + static_cast<int>(m_random.Below(aMostMs - aLeastMs + 1)));
}

} // namespace parsleycove
