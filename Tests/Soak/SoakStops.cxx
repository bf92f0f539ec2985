// Graceful stops of a soak's entry VMs.
#include "Soak/SoakStops.h"

namespace parsleycove {

namespace {

constexpr std::chrono::milliseconds kCheckMs{ 50 };
// An entry VM ends so long after the signal at the latest; the soak allows for
// a busy machine.
constexpr std::chrono::milliseconds kStopGraceMs{ kSoakStopGraceMs };
constexpr std::chrono::seconds kAllowanceS{ 2 };
// The gateway ends so long before the end of the grace, whatever is in
// progress.
constexpr std::chrono::milliseconds kForcedMarginMs{ 600 };

} // namespace

SoakStops::SoakStops(SoakScene& aScene)
  : m_scene(aScene)
{
  CheckLater();
}

void
SoakStops::Stop(std::size_t aEntry, int aSignal)
{
  SoakProcess& process = m_scene.m_fleet.Entry(aEntry);
  if (!process.IsRunning()) {
    return;
  }
  if (StopRun& stop = m_stops[aEntry]; stop.m_process != process.Id()) {
    stop = { process.Id(), BootClock::now(), {}, false };
  }
  process.Signal(aSignal);
}

void
SoakStops::Extend(std::size_t aEntry, Duration aLength)
{
  if (const auto found = m_stops.find(aEntry); found != m_stops.end()) {
    found->second.m_extension += aLength;
  }
}

void
SoakStops::CheckLater()
{
  m_scene.After(kCheckMs, [this] {
    Check();
    CheckLater();
  });
}

void
SoakStops::Check()
{
  for (auto place = m_stops.begin(); place != m_stops.end();) {
    place = Follow(place->first, place->second) ? std::next(place)
                                                : m_stops.erase(place);
  }
}

bool
SoakStops::Follow(std::size_t aEntry, StopRun& aStop)
{
  SoakProcess& process = m_scene.m_fleet.Entry(aEntry);
  const TimePoint now = BootClock::now();
  const std::string name = SoakScene::EntryName(aEntry);
  const bool isRunning = process.IsRunning() && process.Id() == aStop.m_process;
  if (isRunning) {
    if (!aStop.m_isLate && now - aStop.m_begunAt >
                             kStopGraceMs + kAllowanceS + aStop.m_extension) {
      aStop.m_isLate = true;
      m_scene.m_ledger.Breach(name + " was told to stop and still runs");
    }
    return true;
  }
  m_scene.m_ledger.Stops().Note(name, aStop.m_begunAt, now);
  if (now - aStop.m_begunAt >= kStopGraceMs - kForcedMarginMs) {
    m_scene.m_ledger.Harms().Note(
      name, aStop.m_begunAt + kStopGraceMs - kForcedMarginMs, now);
  }
  m_scene.Say(name + " is gone after its stop");
  m_scene.After(m_scene.Draw(0, 600), [this] { m_scene.m_fleet.Revive(); });
  return false;
}

} // namespace parsleycove
