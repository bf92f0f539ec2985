// A discrete-event queue model of runners behind twelve gateways.
#include "Bench/Decision/PipelineModel.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <unordered_map>
#include <vector>

#include "Routing/AdmissionController.h"
#include "Routing/FlowBound.h"
#include "Routing/StreamStateMachine.h"

namespace parsleycove {

namespace {

constexpr std::size_t kGateways = 12;
constexpr std::size_t kRunners = 40;
constexpr std::size_t kStages = 4;
constexpr std::uint32_t kPromptTokens = 16;
constexpr std::uint32_t kTokens = 60;
// Prompt positions cost a fraction of a token: they run in parallel.
constexpr double kPrefillSpeedup = 8.0;
constexpr double kWorkOfARequest =
  kPromptTokens / kPrefillSpeedup + (kTokens - 1);
// Share of a full round's time that an empty round would take.
constexpr double kRoundBase = 0.5;
constexpr Duration kFirstToken = std::chrono::milliseconds(1500);
constexpr Duration kInterval = std::chrono::milliseconds(40);
constexpr Duration kCompletion = kFirstToken + kTokens * kInterval;
constexpr Duration kArrivalsEnd = std::chrono::seconds(30);
// Requests before this are left out while the estimates settle.
constexpr Duration kMeasureFrom = std::chrono::seconds(10);
constexpr Duration kScanInterval = std::chrono::milliseconds(10);

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration
FromSeconds(double aSeconds)
{
  return Duration(static_cast<std::int64_t>(aSeconds * 1e9));
}

struct Stream
{
  std::uint64_t m_id = 0;
  std::size_t m_gateway = 0;
  TimePoint m_sentAt;
  TimePoint m_firstTokenAt;
  std::unique_ptr<StreamStateMachine> m_machine;
  bool m_hit = false;
  bool m_recovered = false;
};

struct QueuedStep
{
  std::uint64_t m_stream = 0;
  std::size_t m_gateway = 0;
  std::size_t m_stage = 0;
  EngineStep m_step;
};

// A runner that works in rounds of at most its slots.
struct ModelRunner
{
  std::deque<QueuedStep> m_queue;
  std::vector<QueuedStep> m_round;
  bool m_busy = false;
};

struct Gateway
{
  std::string m_zone;
  boost::intrusive_ptr<const RunnerTable> m_table;
  std::unique_ptr<ChainPlanner> m_planner;
  AdmissionController m_admission;
  RetryBudget m_budget{ 0.1, 200, 1 };
};

class Model
{
public:
  explicit Model(const PipelineSettings& aSettings)
    : m_settings(aSettings)
    , m_random(aSettings.m_seed)
    , m_links(BenchLinks(aSettings.m_regions))
    , m_gateways(kGateways)
    , m_runners(kRunners)
  {
    const TestCluster cluster = MakeBenchCluster(kRunners, 1, kStages);
    m_bound = ComputeFlowBound(*cluster.Build(), "m0");
    const double requestsPerSecond = m_bound / kWorkOfARequest;
    for (std::size_t i = 0; i < kGateways; ++i) {
      Gateway& gateway = m_gateways[i];
      gateway.m_zone = BenchZone(i % kBenchZones);
      gateway.m_table = cluster.Build();
      gateway.m_planner = MakePlanner(
        aSettings.m_planner, aSettings.m_regions, aSettings.m_seed * 100 + i);
      gateway.m_admission.SetCapacity(
        m_now, "m0", requestsPerSecond * kTokens / kGateways);
    }
    for (std::size_t i = 0; i < kRunners; ++i) {
      m_numbers[m_gateways[0].m_table->Runners()[i]->m_id] = i;
    }
  }

  PipelineResult Run()
  {
    ScheduleArrival();
    Scan();
    if (m_settings.m_zoneLostAt > Duration::zero()) {
      At(m_settings.m_zoneLostAt, [this] { LoseZone(); });
    }
    while (!m_events.empty()) {
      m_now = m_events.top().m_at;
      // The event is taken out before it runs, for it may add others.
      auto run = std::move(const_cast<Event&>(m_events.top()).m_run);
      m_events.pop();
      run();
    }
    return Summarize();
  }

private:
  struct Event
  {
    TimePoint m_at;
    std::uint64_t m_order = 0;
    std::function<void()> m_run;
    bool operator<(const Event& aOther) const
    {
      return m_at != aOther.m_at ? m_at > aOther.m_at
                                 : m_order > aOther.m_order;
    }
  };

  void At(Duration aDelay, std::function<void()> aRun)
  {
    m_events.push({ m_now + aDelay, m_order++, std::move(aRun) });
  }

  void ScheduleArrival()
  {
    const double perSecond = m_settings.m_load * m_bound / kWorkOfARequest;
    const double gap = -std::log(1.0 - m_random.Fraction()) / perSecond;
    const Duration delay = FromSeconds(gap);
    if (m_now + delay < kTestStart + kArrivalsEnd) {
      At(delay, [this] {
        Arrive();
        ScheduleArrival();
      });
    }
  }

  bool IsMeasured(const Stream& aStream) const
  {
    return aStream.m_sentAt >= kTestStart + kMeasureFrom;
  }

  void Arrive()
  {
    const std::uint64_t id = ++m_lastId;
    Stream& stream = m_streams[id];
    stream.m_id = id;
    stream.m_gateway = m_random.Below(kGateways);
    stream.m_sentAt = m_now;
    m_result.m_sent += IsMeasured(stream) ? 1 : 0;
    AdmissionRequest request;
    request.m_id = id;
    request.m_account = "account" + std::to_string(m_random.Below(10));
    request.m_resource = "m0";
    request.m_targets = { "answers", kFirstToken, kInterval, kCompletion, 950 };
    request.m_cost = kTokens;
    request.m_deadline = m_now + kCompletion;
    const AdmissionDecision answer =
      m_gateways[stream.m_gateway].m_admission.Submit(m_now, request);
    if (answer.m_status == AdmissionStatus::Admitted) {
      Begin(stream);
    } else if (answer.m_status == AdmissionStatus::Refused) {
      Refuse(id);
    }
  }

  void Refuse(std::uint64_t aId)
  {
    m_result.m_refused += IsMeasured(m_streams.at(aId)) ? 1 : 0;
    m_streams.erase(aId);
  }

  void TakeReady(Gateway& aGateway)
  {
    const AdmissionBatch batch = aGateway.m_admission.TakeReady(m_now);
    for (const RefusedRequest& refused : batch.m_refused) {
      Refuse(refused.m_id);
    }
    for (const std::uint64_t id : batch.m_start) {
      Begin(m_streams.at(id));
    }
  }

  void Begin(Stream& aStream)
  {
    StreamSettings settings;
    settings.m_targets = {
      "answers", kFirstToken, kInterval, kCompletion, 950
    };
    settings.m_deadline = aStream.m_sentAt + 2 * kCompletion;
    settings.m_maxTokens = kTokens;
    aStream.m_machine = std::make_unique<StreamStateMachine>(
      settings, &m_gateways[aStream.m_gateway].m_budget);
    aStream.m_machine->OnTokenized(
      m_now, std::vector<std::uint32_t>(kPromptTokens, 1));
    Perform(aStream.m_id);
  }

  // Performs what the stream asks for; the stream may be gone afterwards.
  void Perform(std::uint64_t aId)
  {
    for (;;) {
      Stream& stream = m_streams.at(aId);
      const auto actions = stream.m_machine->TakeActions();
      if (actions.empty()) {
        return;
      }
      for (const StreamAction& action : actions) {
        if (const auto* send = std::get_if<SendStep>(&action)) {
          Send(stream, *send);
        } else if (const auto* need = std::get_if<NeedChain>(&action)) {
          FindChain(stream, *need);
        } else if (std::holds_alternative<EmitToken>(action)) {
          NoteToken(stream);
        } else if (const auto* end = std::get_if<FinishStream>(&action)) {
          Finish(stream, *end);
          return;
        }
      }
    }
  }

  void FindChain(Stream& aStream, const NeedChain& aNeed)
  {
    Gateway& gateway = m_gateways[aStream.m_gateway];
    ChainRequest request;
    request.m_model = "m0";
    request.m_promptTokens = aNeed.m_promptTokens;
    request.m_expectedTokens = aNeed.m_expectedTokens;
    request.m_excluded = aNeed.m_excluded;
    request.m_gatewayZone = gateway.m_zone;
    request.m_answeredSince = aNeed.m_answeredSince;
    auto chain = gateway.m_planner->Plan(m_now, *gateway.m_table, request);
    if (chain) {
      aStream.m_machine->OnChain(m_now, std::move(*chain));
    } else {
      aStream.m_machine->OnNoChain(m_now, "no chain");
    }
  }

  Duration LinkOf(std::size_t aGateway, std::size_t aRunner) const
  {
    const Gateway& gateway = m_gateways[aGateway];
    return m_links.OneWayLatency(gateway.m_zone,
                                 gateway.m_table->Runners()[aRunner]->m_zone);
  }

  void Send(Stream& aStream, const SendStep& aSend)
  {
    const std::size_t number = m_numbers.at(aSend.m_runner->m_id);
    QueuedStep step{
      aStream.m_id, aStream.m_gateway, aSend.m_stage, aSend.m_step
    };
    step.m_step.m_tokens.clear();
    At(LinkOf(aStream.m_gateway, number), [this, number, step] {
      m_runners[number].m_queue.push_back(step);
      StartRound(number);
    });
  }

  bool IsLost(std::size_t aRunner) const
  {
    return m_zoneLost &&
           m_gateways[0].m_table->Runners()[aRunner]->m_zone == BenchZone(0);
  }

  void StartRound(std::size_t aNumber)
  {
    ModelRunner& runner = m_runners[aNumber];
    if (runner.m_busy || runner.m_queue.empty() || IsLost(aNumber)) {
      return;
    }
    const Runner& facts = *m_gateways[0].m_table->Runners()[aNumber];
    const double slots = facts.m_slots;
    double work = 0;
    while (!runner.m_queue.empty() && work < slots) {
      const double positions = runner.m_queue.front().m_step.m_count;
      work += std::max(1.0, positions / kPrefillSpeedup);
      runner.m_round.push_back(std::move(runner.m_queue.front()));
      runner.m_queue.pop_front();
    }
    runner.m_busy = true;
    m_steps += work;
    const double full = slots / facts.m_tokensPerSecond;
    const double taken =
      full * (kRoundBase + (1.0 - kRoundBase) * work / slots);
    At(FromSeconds(taken), [this, aNumber] { EndRound(aNumber); });
  }

  void EndRound(std::size_t aNumber)
  {
    ModelRunner& runner = m_runners[aNumber];
    runner.m_busy = false;
    const auto round = std::exchange(runner.m_round, {});
    if (IsLost(aNumber)) {
      return;
    }
    const auto queued = static_cast<std::uint32_t>(runner.m_queue.size());
    const auto running = static_cast<std::uint32_t>(round.size());
    for (const QueuedStep& step : round) {
      At(LinkOf(step.m_gateway, aNumber),
         [this, aNumber, step, queued, running] {
           TakeResult(aNumber, step, queued, running);
         });
    }
    StartRound(aNumber);
  }

  void TakeResult(std::size_t aNumber,
                  const QueuedStep& aStep,
                  std::uint32_t aQueued,
                  std::uint32_t aRunning)
  {
    const Gateway& gateway = m_gateways[aStep.m_gateway];
    gateway.m_table->Runners()[aNumber]->m_load->RecordReport(
      m_now, aQueued, aRunning);
    if (!m_streams.contains(aStep.m_stream)) {
      return;
    }
    StepResult result;
    result.m_stage = aStep.m_stage;
    result.m_attempt = aStep.m_step.m_attempt;
    result.m_position = aStep.m_step.m_position;
    result.m_text = "t";
    m_streams.at(aStep.m_stream).m_machine->OnResult(m_now, result);
    Perform(aStep.m_stream);
  }

  void NoteToken(Stream& aStream)
  {
    if (aStream.m_firstTokenAt == TimePoint{}) {
      aStream.m_firstTokenAt = m_now;
    }
    if (aStream.m_hit && !aStream.m_recovered &&
        aStream.m_machine->Attempt() > 1) {
      aStream.m_recovered = true;
      m_recoveries.push_back(ToSeconds(m_now - m_lostAt) * 1000);
    }
  }

  void Finish(Stream& aStream, const FinishStream& aEnd)
  {
    const bool whole = aEnd.m_reason == FinishReason::MaxTokens;
    const bool inTime =
      whole && m_now - aStream.m_sentAt <= kCompletion &&
      aStream.m_firstTokenAt - aStream.m_sentAt <= kFirstToken;
    if (IsMeasured(aStream)) {
      m_result.m_inTime += inTime ? 1 : 0;
      m_result.m_late += whole && !inTime ? 1 : 0;
      m_result.m_failed += whole ? 0 : 1;
    }
    m_stepsNeeded += kStages * kWorkOfARequest;
    Gateway& gateway = m_gateways[aStream.m_gateway];
    gateway.m_admission.Finish(m_now, aStream.m_id, { inTime, kTokens });
    m_streams.erase(aStream.m_id);
    TakeReady(gateway);
  }

  // Stands for the timers of streams and admission.
  void Scan()
  {
    std::vector<std::uint64_t> due;
    for (const auto& [id, stream] : m_streams) {
      if (stream.m_machine && stream.m_machine->NextDeadline() <= m_now) {
        due.push_back(id);
      }
    }
    std::sort(due.begin(), due.end());
    for (const std::uint64_t id : due) {
      m_streams.at(id).m_machine->OnTick(m_now);
      Perform(id);
    }
    for (Gateway& gateway : m_gateways) {
      TakeReady(gateway);
    }
    if (m_now < kTestStart + kArrivalsEnd || !m_streams.empty()) {
      At(kScanInterval, [this] { Scan(); });
    }
  }

  void LoseZone()
  {
    m_zoneLost = true;
    m_lostAt = m_now;
    for (auto& [id, stream] : m_streams) {
      stream.m_hit = stream.m_machine != nullptr;
    }
  }

  PipelineResult Summarize()
  {
    const double seconds = ToSeconds(kArrivalsEnd - kMeasureFrom);
    m_result.m_goodputShare =
      m_result.m_inTime * kWorkOfARequest / (m_bound * seconds);
    m_result.m_stepsShare = m_steps / m_stepsNeeded;
    std::sort(m_recoveries.begin(), m_recoveries.end());
    if (const std::size_t count = m_recoveries.size(); count > 0) {
      m_result.m_recoveryP50Ms = m_recoveries[count / 2];
      m_result.m_recoveryP95Ms = m_recoveries[count * 95 / 100];
    }
    return m_result;
  }

  const PipelineSettings m_settings;
  Random m_random;
  const LinkCosts m_links;
  std::vector<Gateway> m_gateways;
  std::vector<ModelRunner> m_runners;
  std::unordered_map<std::string, std::size_t> m_numbers;
  std::unordered_map<std::uint64_t, Stream> m_streams;
  std::priority_queue<Event> m_events;
  std::uint64_t m_order = 0;
  std::uint64_t m_lastId = 0;
  TimePoint m_now = kTestStart;
  double m_bound = 0;
  double m_steps = 0;
  double m_stepsNeeded = 0;
  bool m_zoneLost = false;
  TimePoint m_lostAt;
  std::vector<double> m_recoveries;
  PipelineResult m_result;
};

} // namespace

PipelineResult
RunPipelineModel(const PipelineSettings& aSettings)
{
  return Model(aSettings).Run();
}

} // namespace parsleycove
