// What this process knows of one endpoint's load and health.
#include "Routing/RunnerLoad.h"

#include <algorithm>
#include <cmath>

namespace parsleycove {

namespace {

constexpr double kAverageWeight = 0.125;
constexpr double kMinSlowness = 1.0 / 64;
constexpr double kMaxSlowness = 64.0;
constexpr double kSlownessHalfLifeSeconds = 2.0;
// Steps below this many positions measure the round trip, others the rate.
constexpr std::uint32_t kPrefillPositions = 8;
// Without an answer for so long, an endpoint gets no further work.
constexpr std::int64_t kUnansweringRoundTrips = 3;
constexpr std::int64_t kMinUnansweringNs = 50'000'000;
constexpr std::uint32_t kFailuresToSuspect = 2;
// One event weighs so little that a single pause of all streams of a batch is
// forgotten after a few dozen events.
constexpr std::int64_t kEventGapWeight = 16;
// Engines change their pace within seconds.
constexpr std::int64_t kEventGapAgeNs = 1'000'000'000;
constexpr std::int64_t kFirstSuspicionNs = 500'000'000;
constexpr std::uint32_t kMaxSuspicionDoublings = 6;
constexpr std::int64_t kProbeWindowNs = 1'000'000'000;
// A refusal this soon after the last one follows it.
constexpr std::int64_t kShunMemoryNs = 500'000'000;
constexpr std::uint32_t kMaxShunDoublings = 3;

std::int64_t
ToNs(TimePoint aTime)
{
  return aTime.time_since_epoch().count();
}

void
Average(std::atomic<std::int64_t>& aAverage, std::int64_t aSample)
{
  const std::int64_t old = aAverage.load(std::memory_order_relaxed);
  const double next = old == 0
                        ? static_cast<double>(aSample)
                        : static_cast<double>(old) +
                            kAverageWeight * static_cast<double>(aSample - old);
  aAverage.store(static_cast<std::int64_t>(next), std::memory_order_relaxed);
}

double
Fade(std::int64_t aAgeNs, double aHalfLifeSeconds)
{
  const double seconds =
    static_cast<double>(std::max<std::int64_t>(aAgeNs, 0)) / 1e9;
  return 1.0 / (1.0 + std::pow(seconds / aHalfLifeSeconds, 2));
}

} // namespace

void
RunnerLoad::StartStep(std::uint32_t aPositions)
{
  m_steps.fetch_add(1, std::memory_order_relaxed);
  m_positions.fetch_add(static_cast<std::int32_t>(aPositions),
                        std::memory_order_relaxed);
}

void
RunnerLoad::AbandonStep(std::uint32_t aPositions)
{
  m_steps.fetch_sub(1, std::memory_order_relaxed);
  m_positions.fetch_sub(static_cast<std::int32_t>(aPositions),
                        std::memory_order_relaxed);
}

void
RunnerLoad::FinishStep(TimePoint aNow,
                       std::uint32_t aPositions,
                       Duration aTaken,
                       Duration aExpected)
{
  AbandonStep(aPositions);
  const std::int64_t taken = std::max<std::int64_t>(aTaken.count(), 1);
  if (aPositions < kPrefillPositions) {
    Average(m_roundTripNs, taken);
  } else {
    Average(m_positionNs, taken / aPositions);
  }
  if (aPositions < kPrefillPositions && aExpected > Duration::zero()) {
    RecordSlowness(aNow, static_cast<double>(taken) / aExpected.count());
  }
  m_waitingSinceNs.store(ToNs(aNow), std::memory_order_relaxed);
  m_answeredAtNs.store(ToNs(aNow), std::memory_order_relaxed);
  m_failures.store(0, std::memory_order_relaxed);
  m_suspectUntilNs.store(0, std::memory_order_relaxed);
}

void
RunnerLoad::RecordSlowness(TimePoint aNow, double aSample)
{
  const double old = Slowness(aNow);
  const double sample = std::min(aSample, kMaxSlowness);
  const double next = old + kAverageWeight * (sample - old);
  m_slowness.store(std::clamp(next, kMinSlowness, kMaxSlowness),
                   std::memory_order_relaxed);
  m_slownessAtNs.store(ToNs(aNow), std::memory_order_relaxed);
}

void
RunnerLoad::NoteSent(TimePoint aNow)
{
  if (Load(m_steps) == 0) {
    m_waitingSinceNs.store(ToNs(aNow), std::memory_order_relaxed);
  }
}

bool
RunnerLoad::IsUnanswering(TimePoint aNow) const
{
  const std::int64_t since = Load(m_waitingSinceNs);
  if (Load(m_steps) == 0 || since == 0) {
    return false;
  }
  const std::int64_t patience =
    std::max(kUnansweringRoundTrips * Load(m_roundTripNs), kMinUnansweringNs);
  return ToNs(aNow) - since > patience;
}

bool
RunnerLoad::HasAnsweredSince(TimePoint aTime) const
{
  return Load(m_answeredAtNs) > ToNs(aTime);
}

void
RunnerLoad::RecordReport(TimePoint aNow,
                         std::uint32_t aQueued,
                         std::uint32_t aRunning)
{
  const std::int64_t others =
    static_cast<std::int64_t>(aQueued) + aRunning - Load(m_streams);
  m_reportedOthers.store(
    static_cast<std::int32_t>(std::max<std::int64_t>(others, 0)),
    std::memory_order_relaxed);
  m_reportedAtNs.store(ToNs(aNow), std::memory_order_relaxed);
}

void
RunnerLoad::RecordFailure(TimePoint aNow)
{
  const std::uint32_t failures =
    m_failures.fetch_add(1, std::memory_order_relaxed) + 1;
  if (failures < kFailuresToSuspect) {
    return;
  }
  const std::uint32_t doublings =
    std::min(failures - kFailuresToSuspect, kMaxSuspicionDoublings);
  m_suspectUntilNs.store(ToNs(aNow) + (kFirstSuspicionNs << doublings),
                         std::memory_order_relaxed);
}

void
RunnerLoad::RecordSilence(TimePoint aNow, TimePoint aSentAt)
{
  const bool answeredSince = Load(m_waitingSinceNs) > ToNs(aSentAt);
  if (!answeredSince && Load(m_failures) + 1 < kFailuresToSuspect) {
    m_failures.store(kFailuresToSuspect - 1, std::memory_order_relaxed);
  }
  RecordFailure(aNow);
}

void
RunnerLoad::Suspect(TimePoint aNow, Duration aFor)
{
  m_suspectUntilNs.store(ToNs(aNow) + aFor.count(), std::memory_order_relaxed);
}

void
RunnerLoad::Clear(TimePoint aNow)
{
  m_answeredAtNs.store(ToNs(aNow), std::memory_order_relaxed);
  m_failures.store(0, std::memory_order_relaxed);
  m_suspectUntilNs.store(0, std::memory_order_relaxed);
}

void
RunnerLoad::Shun(TimePoint aNow, Duration aFor)
{
  const std::int64_t now = ToNs(aNow);
  const std::int64_t until = Load(m_shunUntilNs);
  if (now < until) {
    return;
  }
  const bool follows = until != 0 && now - until < kShunMemoryNs;
  const std::uint32_t doublings =
    follows ? std::min(Load(m_shunDoublings) + 1, kMaxShunDoublings) : 0;
  m_shunDoublings.store(doublings, std::memory_order_relaxed);
  m_shunUntilNs.store(now + (aFor.count() << doublings),
                      std::memory_order_relaxed);
}

void
RunnerLoad::NoteEventGap(TimePoint aNow, Duration aGap)
{
  const std::int64_t gap = std::chrono::nanoseconds(aGap).count();
  const std::int64_t usual = Load(m_eventGapNs);
  const bool isKnown = EventGap(aNow) != Duration::zero();
  m_eventGapNs.store(isKnown ? usual + (gap - usual) / kEventGapWeight : gap,
                     std::memory_order_relaxed);
  m_eventGapAtNs.store(ToNs(aNow), std::memory_order_relaxed);
}

Duration
RunnerLoad::EventGap(TimePoint aNow) const
{
  const bool isRecent = ToNs(aNow) - Load(m_eventGapAtNs) < kEventGapAgeNs;
  return isRecent ? Duration(Load(m_eventGapNs)) : Duration::zero();
}

void
RunnerLoad::NotePace(TimePoint aNow, double aPace)
{
  m_slowness.store(std::clamp(aPace, kMinSlowness, kMaxSlowness),
                   std::memory_order_relaxed);
  m_slownessAtNs.store(ToNs(aNow), std::memory_order_relaxed);
}

CircuitState
RunnerLoad::Circuit(TimePoint aNow) const
{
  const std::int64_t until = Load(m_suspectUntilNs);
  if (until == 0) {
    return CircuitState::Ok;
  }
  return ToNs(aNow) < until ? CircuitState::Suspect : CircuitState::HalfOpen;
}

bool
RunnerLoad::ClaimProbe(TimePoint aNow)
{
  std::int64_t until = Load(m_suspectUntilNs);
  if (until == 0) {
    return true;
  }
  if (ToNs(aNow) < until) {
    return false;
  }
  return m_suspectUntilNs.compare_exchange_strong(
    until, ToNs(aNow) + kProbeWindowNs, std::memory_order_relaxed);
}

double
RunnerLoad::EstimateStreams(TimePoint aNow, double aHalfLifeSeconds) const
{
  const double own = std::max(Load(m_streams), 0);
  const std::int64_t reportedAt = Load(m_reportedAtNs);
  if (reportedAt == 0) {
    return own;
  }
  const double others = Load(m_reportedOthers);
  return own + others * Fade(ToNs(aNow) - reportedAt, aHalfLifeSeconds);
}

double
RunnerLoad::Slowness(TimePoint aNow) const
{
  const std::int64_t at = Load(m_slownessAtNs);
  if (at == 0) {
    return 1.0;
  }
  const double slowness = Load(m_slowness);
  const double weight = Fade(ToNs(aNow) - at, kSlownessHalfLifeSeconds);
  return 1.0 + (slowness - 1.0) * weight;
}

} // namespace parsleycove
