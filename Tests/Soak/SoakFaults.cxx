// The faults of a soak.
#include "Soak/SoakFaults.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace parsleycove {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A control VM that was down is sound again so long after it is back.
constexpr seconds kCatchUpS{ 4 };
// Bound of the users' platform for the work of an endpoint that leaves.
constexpr seconds kDrainS{ 2 };
// Effects of a fault that has ended may still be under way.
constexpr milliseconds kSettleMs{ 200 };
constexpr seconds kThawS{ 1 };
constexpr std::uint64_t kMostAtOnce = 3;

} // namespace

SoakFaults::SoakFaults(SoakScene& aScene)
  : m_scene(aScene)
  , m_stops(aScene)
{
}

void
SoakFaults::Begin()
{
  InjectLater(m_scene.Draw(100, 500));
}

void
SoakFaults::InjectLater(Duration aTime)
{
  m_scene.After(aTime, [this] {
    if (m_hasEnded) {
      return;
    }
    for (auto left = 1 + m_scene.m_random.Below(kMostAtOnce); left != 0;
         --left) {
      InjectOne();
    }
    InjectLater(m_scene.Draw(250, 1400));
  });
}

void
SoakFaults::InjectOne()
{
  ++m_count;
  if (m_scene.m_options.m_hasCuts && m_scene.m_random.Below(3) == 0) {
    CutOff();
    return;
  }
  switch (m_scene.m_random.Below(13)) {
    case 0:
    case 1:
      HarmEntry();
      return;
    case 2:
    case 3:
      HarmControl();
      return;
    case 4:
      ReplaceBackend();
      return;
    case 5:
    case 6:
    case 7:
      HarmLink();
      return;
    case 8:
    case 9:
      RunSeries();
      return;
    default:
      Silence();
      return;
  }
}

std::size_t
SoakFaults::DrawEntry()
{
  return m_scene.m_random.Below(m_scene.m_options.m_entries);
}

void
SoakFaults::Kill(std::size_t aEntry)
{
  const TimePoint now = BootClock::now();
  m_scene.m_ledger.Harms().Note(
    SoakScene::EntryName(aEntry), now, now + kSettleMs);
  m_scene.m_fleet.Entry(aEntry).Kill();
}

void
SoakFaults::Freeze(std::size_t aEntry, Duration aLength)
{
  const TimePoint now = BootClock::now();
  m_scene.m_ledger.Harms().Note(
    SoakScene::EntryName(aEntry), now, now + aLength + kThawS);
  m_stops.Extend(aEntry, aLength);
  SoakProcess& entry = m_scene.m_fleet.Entry(aEntry);
  entry.Signal(SIGSTOP);
  m_scene.After(aLength, [&entry] { entry.Signal(SIGCONT); });
}

void
SoakFaults::Stop(std::size_t aEntry, int aSignal)
{
  if (!m_hasEnded) {
    m_stops.Stop(aEntry, aSignal);
  }
}

void
SoakFaults::Reload(std::size_t aEntry)
{
  m_scene.m_fleet.Entry(aEntry).Signal(SIGHUP);
}

void
SoakFaults::ChangeConfiguration()
{
  if (!m_hasEnded) {
    m_scene.m_operator->Change(m_scene.m_random.Below(3) != 0);
  }
}

void
SoakFaults::HarmEntry()
{
  const std::size_t vm = DrawEntry();
  const std::string name = SoakScene::EntryName(vm);
  const Duration length = m_scene.Draw(100, 2500);
  switch (m_scene.m_random.Below(4)) {
    case 0:
      m_scene.Say("kill " + name);
      Kill(vm);
      m_scene.After(length, [this] { m_scene.m_fleet.Revive(); });
      return;
    case 1:
      m_scene.Say("freeze " + name);
      Freeze(vm, length);
      return;
    case 2:
      m_scene.Say("stop " + name);
      Stop(vm, SIGTERM);
      return;
    default:
      m_scene.Say("reload " + name);
      Reload(vm);
      return;
  }
}

void
SoakFaults::HarmControl()
{
  const std::size_t vm = m_scene.m_random.Below(kSoakControls);
  SoakProcess& control = m_scene.m_fleet.Control(vm);
  const std::string name = "control-" + std::to_string(vm);
  const Duration length = m_scene.Draw(100, 2500);
  const bool mayWipe = BootClock::now() > m_controlsWellFrom;
  m_controlsWellFrom =
    std::max(m_controlsWellFrom, BootClock::now() + length + kCatchUpS);
  const auto kind = m_scene.m_random.Below(4);
  if (kind == 0 && mayWipe) {
    m_scene.Say("lose the disk of " + name);
    control.Kill();
    m_scene.m_fleet.WipeDisk(vm);
    m_scene.After(length, [this] { m_scene.m_fleet.Revive(); });
  } else if (kind == 1) {
    m_scene.Say("kill all control VMs");
    for (std::size_t i = 0; i < kSoakControls; ++i) {
      m_scene.m_fleet.Control(i).Kill();
    }
    m_scene.After(m_scene.Draw(100, 900), [this] { m_scene.m_fleet.Revive(); });
  } else if (kind == 2) {
    m_scene.Say("freeze " + name);
    control.Signal(SIGSTOP);
    m_scene.After(length, [&control] { control.Signal(SIGCONT); });
  } else {
    m_scene.Say("kill " + name);
    control.Kill();
    m_scene.After(length, [this] { m_scene.m_fleet.Revive(); });
  }
}

void
SoakFaults::HarmLink()
{
  const std::size_t doors = m_scene.m_doors.size();
  const std::size_t place =
    m_scene.m_random.Below(doors + m_scene.m_backends.size());
  FaultProxy& proxy = place < doors
                        ? *m_scene.m_doors[place]
                        : m_scene.m_backends[place - doors]->Proxy();
  const auto kind = m_scene.m_random.Below(5);
  const TimePoint now = BootClock::now();
  const std::string address = proxy.Address().ToString();
  m_scene.Say("link " + std::to_string(place) + " at " + address + ", fault " +
              std::to_string(kind));
  if (kind == 0) {
    m_scene.m_ledger.Harms().Note(address, now, now + kSettleMs);
    proxy.ResetAll();
    return;
  }
  const Duration length = m_scene.Draw(200, 2500);
  m_scene.m_ledger.Harms().Note(address, now, now + length + kSettleMs);
  proxy.SetFault(static_cast<LinkFault>(kind), m_scene.Draw(5, 120));
  m_scene.After(length, [&proxy] { proxy.SetFault(LinkFault::None); });
}

void
SoakFaults::ReplaceBackend()
{
  auto& backends = m_scene.m_backends;
  const auto place = std::find_if(
    backends.begin(), backends.end(), [this](const auto& aBackend) {
      return !aBackend->IsLeaving() && m_scene.m_random.Below(3) == 0;
    });
  if (place == backends.end()) {
    return;
  }
  SoakBackend& leaving = **place;
  m_scene.Say(leaving.Id() + " is replaced");
  m_scene.AddBackend(leaving.Id().starts_with("engine"));
  leaving.Leave([this, &leaving] {
    m_scene.Say(leaving.Id() + " was told that it may leave");
    if (m_scene.m_options.m_isTimed) {
      m_scene.m_ledger.NoteLeaving(leaving.Id(), BootClock::now() + kDrainS);
    }
    m_scene.After(2 * kDrainS, [this, &leaving] {
      m_scene.m_ledger.Harms().Note(
        leaving.Address(), BootClock::now(), TimePoint::max());
      m_scene.Say(leaving.Id() + " ends");
      leaving.Stop();
    });
  });
}

void
SoakFaults::Silence()
{
  auto& backends = m_scene.m_backends;
  const bool isEverybody = m_scene.m_random.Below(4) == 0;
  const auto count =
    isEverybody ? backends.size() : 1 + m_scene.m_random.Below(kMostAtOnce);
  std::string names;
  for (std::size_t i = 0; i < count; ++i) {
    SoakBackend& backend =
      *backends[isEverybody ? i : m_scene.m_random.Below(backends.size())];
    const Duration length = m_scene.Draw(700, 1300);
    m_scene.After(m_scene.Draw(0, 400),
                  [&backend, length] { backend.FallSilent(length); });
    names += " " + backend.Id();
  }
  m_scene.Say("silence of" + names);
  if (m_scene.m_random.Below(3) == 0) {
    m_scene.Say("no back end takes new work meanwhile");
    for (const auto& backend : backends) {
      backend->RefuseWork(m_scene.Draw(1500, 3000));
    }
  }
  if (m_scene.m_random.Below(2) == 0) {
    m_scene.After(m_scene.Draw(0, 900), [this] { ChangeConfiguration(); });
  }
  if (m_scene.m_random.Below(2) == 0) {
    m_scene.After(m_scene.Draw(0, 900),
                  [this, vm = DrawEntry()] { Reload(vm); });
  }
  if (m_scene.m_random.Below(3) == 0) {
    const std::size_t vm = DrawEntry();
    m_scene.Say("stop " + SoakScene::EntryName(vm) + " meanwhile");
    m_scene.After(m_scene.Draw(0, 900), [this, vm] { Stop(vm, SIGTERM); });
  }
}

void
SoakFaults::CheckCallers()
{
  for (const auto& backend : m_scene.m_backends) {
    backend->Proxy().CheckCallers();
  }
}

void
SoakFaults::CutOff()
{
  // Now and then all of them.
  const std::size_t most = m_scene.m_options.m_entries;
  const auto count =
    m_scene.m_random.Below(4) == 0
      ? most
      : 1 + m_scene.m_random.Below(std::max(most / 2, std::size_t{ 1 }));
  for (std::size_t i = 0; i < count; ++i) {
    CutOffFor(DrawEntry(), m_scene.Draw(1500, 6000), 1);
  }
  if (m_scene.m_random.Below(3) == 0) {
    CutOffFor(DrawEntry(), m_scene.Draw(200, 900), 3);
  }
}

void
SoakFaults::CutOffFor(std::size_t aEntry, Duration aLength, int aTimes)
{
  constexpr std::array kFaults{ LinkFault::Silent,
                                LinkFault::AnswersSilent,
                                LinkFault::Refused,
                                LinkFault::RefusedNew };
  if (m_hasEnded || aTimes == 0 || m_scene.m_cuts.IsCut(aEntry)) {
    return;
  }
  const LinkFault fault = kFaults[m_scene.m_random.Below(kFaults.size())];
  const bool isWhole = m_scene.m_random.Below(4) != 0;
  m_scene.Say(SoakScene::EntryName(aEntry) + " loses its links to " +
              (isWhole ? "all" : "half of the") + " back ends, fault " +
              std::to_string(static_cast<int>(fault)));
  m_scene.m_cuts.Cut(aEntry, fault, isWhole);
  CheckCallers();
  m_scene.After(aLength, [this, aEntry, aLength, aTimes] {
    m_scene.Say(SoakScene::EntryName(aEntry) + " has its links back");
    m_scene.m_cuts.Heal(aEntry);
    CheckCallers();
    m_scene.After(m_scene.Draw(100, 600), [this, aEntry, aLength, aTimes] {
      CutOffFor(aEntry, aLength, aTimes - 1);
    });
  });
}

void
SoakFaults::RunSeries()
{
  const std::size_t vm = DrawEntry();
  switch (m_scene.m_random.Below(4)) {
    case 0:
      m_scene.Say("series of reloads");
      SendReloads();
      return;
    case 1:
      m_scene.Say("series of changes");
      SendChanges();
      return;
    case 2:
      m_scene.Say("series of restarts of " + SoakScene::EntryName(vm));
      RestartEntry(vm, 3);
      return;
    default:
      m_scene.Say("series of signals to " + SoakScene::EntryName(vm));
      SendSignals(vm);
      return;
  }
}

void
SoakFaults::SendReloads()
{
  Duration at{};
  for (int i = 0; i < 8; ++i) {
    at += m_scene.Draw(5, 80);
    m_scene.After(at, [this, vm = DrawEntry()] { Reload(vm); });
  }
}

void
SoakFaults::SendChanges()
{
  Duration at{};
  for (int i = 0; i < 5; ++i) {
    at += m_scene.Draw(5, 150);
    m_scene.After(at, [this] { ChangeConfiguration(); });
  }
}

void
SoakFaults::RestartEntry(std::size_t aVm, int aTimes)
{
  if (aTimes == 0 || m_hasEnded) {
    return;
  }
  Kill(aVm);
  m_scene.After(m_scene.Draw(0, 150), [this, aVm, aTimes] {
    m_scene.m_fleet.Revive();
    m_scene.After(m_scene.Draw(50, 500),
                  [this, aVm, aTimes] { RestartEntry(aVm, aTimes - 1); });
  });
}

void
SoakFaults::SendSignals(std::size_t aVm)
{
  Duration at{};
  for (const int signal : { SIGHUP, SIGTERM, SIGHUP, SIGINT, SIGTERM }) {
    at += m_scene.Draw(1, 250);
    m_scene.After(at, [this, aVm, signal] {
      if (signal == SIGHUP) {
        Reload(aVm);
      } else {
        Stop(aVm, signal);
      }
    });
  }
}

void
SoakFaults::End()
{
  m_hasEnded = true;
  m_scene.Say("all faults end");
  for (std::size_t vm = 0; vm < m_scene.m_options.m_entries; ++vm) {
    m_scene.m_cuts.Heal(vm);
  }
  CheckCallers();
  for (std::size_t vm = 0; vm < m_scene.m_options.m_entries; ++vm) {
    m_scene.m_fleet.Entry(vm).Signal(SIGCONT);
    m_scene.m_doors[vm]->SetFault(LinkFault::None);
  }
  for (std::size_t vm = 0; vm < kSoakControls; ++vm) {
    m_scene.m_fleet.Control(vm).Signal(SIGCONT);
  }
  for (const auto& backend : m_scene.m_backends) {
    backend->Proxy().SetFault(LinkFault::None);
  }
  m_scene.m_fleet.Revive();
}

} // namespace parsleycove
