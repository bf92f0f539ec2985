// Replays prompts of mixed lengths on engines that read them in order.
#include "Routing/PromptReplay.h"

#include <algorithm>
#include <cmath>

namespace parsleycove {

namespace {

constexpr double kGapTargetMs = 250;
constexpr double kStepGrowthPerWriter = 0.006;
constexpr double kChunkTokens = 512;
constexpr double kStepsPerPass = 3;
constexpr double kMeanPrompt = 760;
constexpr double kMeanAnswer = 145;

TimePoint
At(double aSeconds)
{
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1000 + aSeconds)));
}

LayeredModel
MakeReadingModel()
{
  LayeredModel model = MakeModel();
  model.m_kinds.push_back({ "fastest", 72'000, 1.4, 1 });
  model.m_chunkTokens = kChunkTokens;
  model.m_stepsPerPass = kStepsPerPass;
  model.m_pairsMsPerMillion = 0.11;
  model.m_usualPromptTokens = kMeanPrompt;
  model.m_usualAnswerTokens = kMeanAnswer;
  return model;
}

} // namespace

double
PromptResult::FirstEventP95(double aBegin,
                            double aEnd,
                            double aFrom,
                            double aTo) const
{
  std::vector<PromptOutcome> chosen;
  std::copy_if(m_outcomes.begin(),
               m_outcomes.end(),
               std::back_inserter(chosen),
               [&](const PromptOutcome& aOutcome) {
                 return aOutcome.m_arrival >= aBegin &&
                        aOutcome.m_arrival < aEnd;
               });
  std::sort(chosen.begin(),
            chosen.end(),
            [](const PromptOutcome& aLeft, const PromptOutcome& aRight) {
              return aLeft.m_promptTokens < aRight.m_promptTokens;
            });
  const auto size = static_cast<double>(chosen.size());
  std::vector<double> times;
  for (auto i = static_cast<std::size_t>(aFrom * size);
       i < static_cast<std::size_t>(aTo * size);
       ++i) {
    times.push_back(chosen[i].m_firstEventMs);
  }
  std::sort(times.begin(), times.end());
  return times.empty() ? 0 : times[times.size() * 95 / 100];
}

double
PromptResult::LongestFirstEvent() const
{
  double longest = 0;
  for (const PromptOutcome& outcome : m_outcomes) {
    longest = std::max(longest, outcome.m_firstEventMs);
  }
  return longest;
}

std::size_t
PromptResult::CountPauses() const
{
  std::size_t pauses = 0;
  for (const PromptOutcome& outcome : m_outcomes) {
    pauses += outcome.m_pauses;
  }
  return pauses;
}

PromptReplay::PromptReplay(const std::vector<EngineGroup>& aGroups,
                           std::size_t aGateways,
                           const PromptLoad& aLoad)
  : m_load(aLoad)
  , m_random(aLoad.m_seed)
  , m_hosts(MakeHosts(aGroups))
{
  const LayeredModel model = MakeReadingModel();
  ApplyOrders(m_hosts, LayerLayout().Plan(model, m_hosts));
  const std::vector<std::string> zones{ "a", "b", "c" };
  PathSelectorSettings settings;
  settings.m_promptSpread.m_isEnabled = aLoad.m_isSpread;
  for (std::size_t i = 0; i < aGateways; ++i) {
    Gateway& gateway = m_gateways.emplace_back(Gateway{
      MakeEngines(m_hosts), PathSelector(zones[i % zones.size()], settings) });
    gateway.m_selector.SetEngines(model, gateway.m_engines);
    gateway.m_selector.SetAims({ std::chrono::milliseconds(500), true });
  }
}

double
PromptReplay::DrawLength(double aMean, double aSpread, double aMost)
{
  constexpr double kTwoPi = 6.283185307179586;
  const double normal = std::sqrt(-2 * std::log(1 - m_random.Fraction())) *
                        std::cos(kTwoPi * m_random.Fraction());
  const double length =
    aMean * std::exp(aSpread * normal - aSpread * aSpread / 2);
  return std::ceil(std::clamp(length, 1.0, aMost));
}

void
PromptReplay::Arrive(double aNow)
{
  Gateway& gateway = m_gateways[m_random.Below(m_gateways.size())];
  Stream stream;
  stream.m_outcome.m_arrival = aNow;
  stream.m_unreadTokens = DrawLength(kMeanPrompt, 1, 3 * kMeanPrompt);
  stream.m_answerTokens = DrawLength(kMeanAnswer, 0.8, 400);
  stream.m_outcome.m_promptTokens =
    static_cast<std::uint32_t>(stream.m_unreadTokens);
  PathRequest request;
  request.m_promptTokens = stream.m_outcome.m_promptTokens;
  request.m_tokens =
    request.m_promptTokens + static_cast<std::uint32_t>(kMeanAnswer);
  request.m_gateways = static_cast<std::uint32_t>(m_gateways.size());
  request.m_draw = m_random.Fraction();
  ++m_result.m_offered;
  stream.m_path = gateway.m_selector.Choose(At(aNow), request).m_path;
  if (!stream.m_path) {
    ++m_result.m_refused;
    return;
  }
  RunnerLoad& first = *stream.m_path->First().m_load;
  Reader& reader = m_readers[stream.m_path->First().m_id];
  if (reader.m_usedTokens + request.m_tokens >
      stream.m_path->m_kvCapacityTokens) {
    ++m_result.m_refused;
    return;
  }
  reader.m_usedTokens += request.m_tokens;
  first.AddStream();
  stream.m_reservation =
    PathReservation(stream.m_path, request.m_tokens, request.m_promptTokens);
  reader.m_prompts.push_back(std::move(stream));
  BeginPass(aNow, reader);
}

void
PromptReplay::BeginPass(double aNow, Reader& aReader)
{
  if (aReader.m_isBusy ||
      (aReader.m_prompts.empty() && aReader.m_writers.empty())) {
    return;
  }
  const StagePath& path = aReader.m_prompts.empty()
                            ? *aReader.m_writers.front().m_path
                            : *aReader.m_prompts.front().m_path;
  aReader.m_isBusy = true;
  aReader.m_passWriters = aReader.m_writers.size();
  const auto writers = static_cast<double>(aReader.m_passWriters);
  const double steps = writers > 0 ? kStepsPerPass : 0;
  double passMs = steps * path.m_stepMs * (1 + kStepGrowthPerWriter * writers);
  double room = kChunkTokens;
  for (Stream& stream : aReader.m_prompts) {
    const double tokens = std::min(room, stream.m_unreadTokens);
    const double before =
      stream.m_outcome.m_promptTokens - stream.m_unreadTokens;
    passMs +=
      tokens * path.m_totalPrefillMs + tokens * (before + tokens / 2) / 1e6 *
                                         path.m_prefillCost.m_pairsMsPerMillion;
    stream.m_unreadTokens -= tokens;
    room -= tokens;
    if (room <= 0) {
      break;
    }
  }
  m_passEnds.emplace(aNow + passMs / 1000, &aReader);
}

void
PromptReplay::EndPass(double aNow, Reader& aReader)
{
  aReader.m_isBusy = false;
  for (std::size_t i = 0; i < aReader.m_passWriters; ++i) {
    Stream stream = std::move(aReader.m_writers.front());
    aReader.m_writers.pop_front();
    stream.m_answerTokens -= kStepsPerPass;
    stream.m_outcome.m_pauses +=
      (aNow - stream.m_lastEvent) * 1000 > kGapTargetMs ? 1 : 0;
    stream.m_path->First().m_load->RecordEventGap(
      At(aNow),
      std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(aNow - stream.m_lastEvent)));
    stream.m_lastEvent = aNow;
    if (stream.m_answerTokens > 0) {
      aReader.m_writers.push_back(std::move(stream));
      continue;
    }
    aReader.m_usedTokens -= stream.m_outcome.m_promptTokens + kMeanAnswer;
    stream.m_path->First().m_load->RemoveStream();
    m_result.m_outcomes.push_back(stream.m_outcome);
  }
  while (!aReader.m_prompts.empty() &&
         aReader.m_prompts.front().m_unreadTokens <= 0) {
    Stream stream = std::move(aReader.m_prompts.front());
    aReader.m_prompts.pop_front();
    stream.m_outcome.m_firstEventMs =
      (aNow - stream.m_outcome.m_arrival) * 1000;
    stream.m_lastEvent = aNow;
    stream.m_reservation.MarkPrefillDone();
    stream.m_path->First().m_load->RecordReport(
      At(aNow),
      static_cast<std::uint32_t>(aReader.m_prompts.size()),
      static_cast<std::uint32_t>(aReader.m_writers.size() + 1));
    aReader.m_writers.push_back(std::move(stream));
  }
  BeginPass(aNow, aReader);
}

PromptResult
PromptReplay::Run()
{
  double nextArrival = 0;
  while (nextArrival < m_load.m_seconds || !m_passEnds.empty()) {
    if (nextArrival < m_load.m_seconds &&
        (m_passEnds.empty() || nextArrival < m_passEnds.begin()->first)) {
      const double now = nextArrival;
      const bool isBurst = now >= m_load.m_burstAt && now < m_load.m_burstEnd;
      const double rate =
        m_load.m_rate * (isBurst ? m_load.m_burstFactor : 1.0);
      nextArrival -= std::log(1 - m_random.Fraction()) / rate;
      Arrive(now);
      continue;
    }
    const auto [now, reader] = *m_passEnds.begin();
    m_passEnds.erase(m_passEnds.begin());
    EndPass(now, *reader);
  }
  return std::move(m_result);
}

} // namespace parsleycove
