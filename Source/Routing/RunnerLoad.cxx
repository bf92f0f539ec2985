// Tracks load and health of one endpoint, as far as this process knows them.
#include "Routing/RunnerLoad.h"

#include <algorithm>
#include <cmath>

namespace parsleycove {

namespace {

constexpr double kAverageWeight = 0.125;
constexpr double kMinSlowdown = 1.0 / 64;
constexpr double kMaxSlowdown = 64.0;
constexpr double kSlowdownHalfLifeSeconds = 2.0;
// Steps with fewer positions measure the round trip, larger ones the service
// time per position.
constexpr std::uint32_t kPrefillPositions = 8;
// An endpoint that has not answered for this many round trips, and at least
// this long, gets no more work.
constexpr std::int64_t kUnresponsiveRoundTrips = 3;
constexpr std::int64_t kMinUnresponsiveNs = 50'000'000;
constexpr std::uint32_t kFailuresToOpen = 2;
// Weight of one event gap is 1 over this value: a single pause of all streams
// of a batch is forgotten after a few dozen events.
constexpr std::int64_t kEventGapDivisor = 16;
// Older averages are ignored, because the speed of an engine changes within
// seconds.
constexpr std::int64_t kMaxEventGapAgeNs = 1'000'000'000;
// Duration of the first open period; each further failure doubles it, up to
// kMaxOpenDoublings times.
constexpr std::int64_t kFirstOpenNs = 500'000'000;
constexpr std::uint32_t kMaxOpenDoublings = 6;
// Time after which a half-open circuit admits another probe.
constexpr std::int64_t kProbeWindowNs = 1'000'000'000;
// A refusal that comes this soon after the end of the last ejection doubles it.
constexpr std::int64_t kEjectMemoryNs = 500'000'000;
constexpr std::uint32_t kMaxEjectDoublings = 3;

std::int64_t
ToNs(TimePoint aTime)
{
  return aTime.time_since_epoch().count();
}

void
UpdateAverage(std::atomic<std::int64_t>& aAverage, std::int64_t aSample)
{
  const std::int64_t old = aAverage.load(std::memory_order_relaxed);
  const double next = old == 0
                        ? static_cast<double>(aSample)
                        : static_cast<double>(old) +
                            kAverageWeight * static_cast<double>(aSample - old);
  aAverage.store(static_cast<std::int64_t>(next), std::memory_order_relaxed);
}

double
DecayWeight(std::int64_t aAgeNs, double aHalfLifeSeconds)
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
    UpdateAverage(m_roundTripNs, taken);
  } else {
    UpdateAverage(m_positionNs, taken / aPositions);
  }
  if (aPositions < kPrefillPositions && aExpected > Duration::zero()) {
    AddSlowdownSample(aNow, static_cast<double>(taken) / aExpected.count());
  }
  m_waitingSinceNs.store(ToNs(aNow), std::memory_order_relaxed);
  m_answeredAtNs.store(ToNs(aNow), std::memory_order_relaxed);
  m_failures.store(0, std::memory_order_relaxed);
  m_openUntilNs.store(0, std::memory_order_relaxed);
}

void
RunnerLoad::AddSlowdownSample(TimePoint aNow, double aSample)
{
  const double old = Slowdown(aNow);
  const double sample = std::min(aSample, kMaxSlowdown);
  const double next = old + kAverageWeight * (sample - old);
  m_slowdown.store(std::clamp(next, kMinSlowdown, kMaxSlowdown),
                   std::memory_order_relaxed);
  m_slowdownAtNs.store(ToNs(aNow), std::memory_order_relaxed);
}

void
RunnerLoad::RecordSend(TimePoint aNow)
{
  if (Load(m_steps) == 0) {
    m_waitingSinceNs.store(ToNs(aNow), std::memory_order_relaxed);
  }
}

bool
RunnerLoad::IsUnresponsive(TimePoint aNow) const
{
  const std::int64_t since = Load(m_waitingSinceNs);
  if (Load(m_steps) == 0 || since == 0) {
    return false;
  }
  const std::int64_t timeout =
    std::max(kUnresponsiveRoundTrips * Load(m_roundTripNs), kMinUnresponsiveNs);
  return ToNs(aNow) - since > timeout;
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
  // Any number may come from an endpoint; a cut one would look like no load.
  m_reportedOtherStreams.store(
    static_cast<std::int32_t>(std::clamp<std::int64_t>(others, 0, INT32_MAX)),
    std::memory_order_relaxed);
  m_reportedAtNs.store(ToNs(aNow), std::memory_order_relaxed);
}

void
RunnerLoad::RecordFailure(TimePoint aNow)
{
  const std::uint32_t failures =
    m_failures.fetch_add(1, std::memory_order_relaxed) + 1;
  if (failures < kFailuresToOpen) {
    return;
  }
  const std::uint32_t doublings =
    std::min(failures - kFailuresToOpen, kMaxOpenDoublings);
  m_openUntilNs.store(ToNs(aNow) + (kFirstOpenNs << doublings),
                      std::memory_order_relaxed);
}

void
RunnerLoad::RecordTimeout(TimePoint aNow, TimePoint aSentAt)
{
  const bool answeredSince = Load(m_waitingSinceNs) > ToNs(aSentAt);
  if (!answeredSince && Load(m_failures) + 1 < kFailuresToOpen) {
    m_failures.store(kFailuresToOpen - 1, std::memory_order_relaxed);
  }
  RecordFailure(aNow);
}

void
RunnerLoad::OpenCircuitFor(TimePoint aNow, Duration aFor)
{
  m_openUntilNs.store(ToNs(aNow) + aFor.count(), std::memory_order_relaxed);
}

void
RunnerLoad::CloseCircuit(TimePoint aNow)
{
  m_answeredAtNs.store(ToNs(aNow), std::memory_order_relaxed);
  m_failures.store(0, std::memory_order_relaxed);
  m_openUntilNs.store(0, std::memory_order_relaxed);
}

void
RunnerLoad::ResetCircuit()
{
  m_failures.store(0, std::memory_order_relaxed);
  m_openUntilNs.store(0, std::memory_order_relaxed);
}

void
RunnerLoad::RecordReached(TimePoint aNow)
{
  m_reachedAtNs.store(ToNs(aNow), std::memory_order_relaxed);
}

void
RunnerLoad::RecordUnreached(TimePoint aSince)
{
  m_unreachedAtNs.store(std::max(ToNs(aSince), Load(m_unreachedAtNs)),
                        std::memory_order_relaxed);
}

void
RunnerLoad::RecordRefused(TimePoint aNow)
{
  m_refusedAtNs.store(ToNs(aNow), std::memory_order_relaxed);
}

void
RunnerLoad::EjectFor(TimePoint aNow, Duration aFor)
{
  const std::int64_t now = ToNs(aNow);
  const std::int64_t until = Load(m_ejectedUntilNs);
  if (now < until) {
    return;
  }
  const bool follows = until != 0 && now - until < kEjectMemoryNs;
  const std::uint32_t doublings =
    follows ? std::min(Load(m_ejectDoublings) + 1, kMaxEjectDoublings) : 0;
  m_ejectDoublings.store(doublings, std::memory_order_relaxed);
  m_ejectedUntilNs.store(now + (aFor.count() << doublings),
                         std::memory_order_relaxed);
}

void
RunnerLoad::RecordEventGap(TimePoint aNow, Duration aGap)
{
  const std::int64_t gap = std::chrono::nanoseconds(aGap).count();
  const std::int64_t usual = Load(m_eventGapNs);
  const bool isKnown = EventGap(aNow) != Duration::zero();
  m_eventGapNs.store(isKnown ? usual + (gap - usual) / kEventGapDivisor : gap,
                     std::memory_order_relaxed);
  m_eventGapAtNs.store(ToNs(aNow), std::memory_order_relaxed);
}

Duration
RunnerLoad::EventGap(TimePoint aNow) const
{
  const bool isRecent = ToNs(aNow) - Load(m_eventGapAtNs) < kMaxEventGapAgeNs;
  return isRecent ? Duration(Load(m_eventGapNs)) : Duration::zero();
}

void
RunnerLoad::RecordSlowdown(TimePoint aNow, double aSlowdown)
{
  m_slowdown.store(std::clamp(aSlowdown, kMinSlowdown, kMaxSlowdown),
                   std::memory_order_relaxed);
  m_slowdownAtNs.store(ToNs(aNow), std::memory_order_relaxed);
}

CircuitState
RunnerLoad::Circuit(TimePoint aNow) const
{
  const std::int64_t until = Load(m_openUntilNs);
  if (until == 0) {
    return CircuitState::Closed;
  }
  return ToNs(aNow) < until ? CircuitState::Open : CircuitState::HalfOpen;
}

bool
RunnerLoad::ClaimProbe(TimePoint aNow)
{
  std::int64_t until = Load(m_openUntilNs);
  if (until == 0) {
    return true;
  }
  if (ToNs(aNow) < until) {
    return false;
  }
  return m_openUntilNs.compare_exchange_strong(
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
  const double others = Load(m_reportedOtherStreams);
  return own + others * DecayWeight(ToNs(aNow) - reportedAt, aHalfLifeSeconds);
}

double
RunnerLoad::Slowdown(TimePoint aNow) const
{
  const std::int64_t at = Load(m_slowdownAtNs);
  if (at == 0) {
    return 1.0;
  }
  const double slowdown = Load(m_slowdown);
  const double weight = DecayWeight(ToNs(aNow) - at, kSlowdownHalfLifeSeconds);
  return 1.0 + (slowdown - 1.0) * weight;
}

} // namespace parsleycove
