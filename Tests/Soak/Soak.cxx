// A seeded series of faults against a fleet of real processes.
#include "Soak/Soak.h"

#include <iostream>
#include <memory>
#include <utility>

#include "Soak/SoakEndCheck.h"

namespace parsleycove {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Only a failing run waits so long.
constexpr seconds kPatienceS{ 60 };
constexpr milliseconds kSliceMs{ 5 };
constexpr milliseconds kAskMs{ 8 };
constexpr milliseconds kReadMs{ 300 };
constexpr milliseconds kChangeMs{ 700 };
// Lost links are noticed, and other VMs serve, well within the 3 s that the
// users' platform allows.
constexpr milliseconds kCutSettlingMs{ 1500 };
constexpr int kEngines = 4;
constexpr int kPlain = 2;
constexpr int kServedToRecover = 60;
constexpr int kStreamsToRecover = 10;

} // namespace

Soak::Soak(SoakOptions aOptions)
  : m_scene(std::move(aOptions))
  , m_faults(m_scene)
{
}

bool
Soak::RunUntil(const std::function<bool()>& aCondition, Duration aPatience)
{
  const TimePoint deadline = BootClock::now() + aPatience;
  while (!aCondition()) {
    if (BootClock::now() > deadline) {
      return false;
    }
    m_scene.m_context.run_one_for(kSliceMs);
    m_scene.m_context.restart();
  }
  return true;
}

void
Soak::Repeat(Duration aInterval, std::function<void()> aTask)
{
  aTask();
  m_scene.After(aInterval, [this, aInterval, task = std::move(aTask)] {
    if (m_isLoaded) {
      Repeat(aInterval, task);
    }
  });
}

bool
Soak::IsServing()
{
  const SoakLedger& ledger = m_scene.m_ledger;
  const int before = ledger.Served();
  const int streamsBefore = ledger.ServedStreams();
  return RunUntil(
    [&] {
      // A process may still be ending by an earlier signal.
      m_scene.m_fleet.Revive();
      return ledger.Served() >= before + kServedToRecover &&
             ledger.ServedStreams() >= streamsBefore + kStreamsToRecover;
    },
    kPatienceS);
}

void
Soak::Start()
{
  m_scene.m_fleet.StartAll();
  m_scene.m_operator->Change(true);
  for (int i = 0; i < kEngines; ++i) {
    m_scene.AddBackend(true);
  }
  for (int i = 0; i < kPlain; ++i) {
    m_scene.AddBackend(false);
  }
  m_isLoaded = true;
  Repeat(kAskMs, [this] { m_scene.m_callers->Ask(); });
}

void
Soak::CheckConfiguration()
{
  SoakOperator& operation = *m_scene.m_operator;
  if (!RunUntil([&] { return operation.IsSettled(); }, kPatienceS)) {
    m_scene.m_ledger.Breach("the newest configuration is never accepted");
  }
  // Shared, since a slow control VM may answer after this check.
  const auto read = std::make_shared<std::uint64_t>(0);
  RunUntil(
    [&] {
      operation.ReadAll([read](std::uint64_t aVersion) { *read = aVersion; });
      RunUntil([] { return false; }, milliseconds(200));
      return *read == operation.AcceptedVersion();
    },
    kPatienceS);
  if (*read != operation.AcceptedVersion()) {
    m_scene.m_ledger.Breach(
      "version " + std::to_string(*read) + " is read back, " +
      std::to_string(operation.AcceptedVersion()) + " was accepted");
  }
}

bool
Soak::Run()
{
  SoakLedger& ledger = m_scene.m_ledger;
  Start();
  if (!IsServing()) {
    ledger.Breach("nothing is served at the start");
  }
  m_scene.m_callers->Hold();
  Repeat(kChangeMs, [this] {
    m_scene.m_operator->Change(m_scene.m_random.Below(3) != 0);
  });
  Repeat(kReadMs, [this] { m_scene.m_operator->ReadAll(); });
  if (m_scene.m_options.m_hasLimits) {
    NameLimits();
  }
  m_faults.Begin();
  RunUntil([] { return false; }, m_scene.m_options.m_length);
  m_faults.End();
  if (!IsServing()) {
    ledger.Breach("nothing is served after the last fault");
  }
  m_isLoaded = false;
  m_scene.m_callers->Release();
  CheckConfiguration();
  RunUntil([this] { return m_scene.m_callers->Open() == 0; }, kPatienceS);
  return Report();
}

void
Soak::NameLimits()
{
  bool isLimited = false;
  for (const auto& backend : m_scene.m_backends) {
    isLimited = !isLimited;
    if (isLimited) {
      const double perSecond = 2 + 4 * m_scene.m_random.Fraction();
      m_scene.Say(backend->Id() + " names a limit of " +
                  std::to_string(perSecond) + " a second");
      backend->NameLimit(perSecond, m_scene.m_options.m_length);
    }
  }
}

bool
Soak::Report()
{
  SoakLedger& ledger = m_scene.m_ledger;
  for (std::string& breach :
       ledger.Limits().FindBreaches(ledger.Harms(), ledger.Stops())) {
    ledger.Breach(std::move(breach));
  }
  for (std::string& breach :
       m_scene.m_cuts.FindBreaches(ledger, kCutSettlingMs)) {
    ledger.Breach(std::move(breach));
  }
  m_scene.m_fleet.ReadPassedOn(
    [&](const std::string& aAttempt, const std::string& aEntry) {
      ledger.NoteHelper(aAttempt, aEntry);
    });
  const SoakEndCounts ends = CheckEnds(ledger);
  std::cout << "seed " << m_scene.m_options.m_seed << ": " << m_faults.Count()
            << " faults, " << ledger.Served() << " served, "
            << ledger.Unserved() << " not, " << ledger.Runs()
            << " runs, version " << m_scene.m_operator->AcceptedVersion()
            << "; without harm " << ends.m_sound << ", beside a silence "
            << ends.m_silent << ", of those in a graceful stop "
            << ends.m_silentInStop << "; crashes " << ledger.Crashes()
            << ", late " << ledger.LateCrashes() << "; under a limit "
            << ledger.Limits().Requests() << "; "
            << m_scene.m_cuts.Describe(ledger, kCutSettlingMs) << "\n";
  for (const std::string& breach : ledger.Breaches()) {
    std::cout << "BROKEN: " << breach << "\n";
  }
  return ledger.Breaches().empty();
}

} // namespace parsleycove
