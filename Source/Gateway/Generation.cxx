// Drives the state machine of one generation against real engines.
#include "Gateway/Generation.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "Gateway/GatewayServices.h"
#include "Gateway/RequestTrace.h"
#include "Gateway/Worker.h"
#include "Routing/ChainPlanner.h"
#include "Routing/RunnerTable.h"

namespace parsleycove {

namespace json = boost::json;

namespace {

constexpr int kMaxTokenizeTries = 3;
constexpr Duration kTokenizeTimeout = std::chrono::milliseconds(800);
// Classes with a first-token target this much longer are one step less urgent.
constexpr Duration kPriorityStep = std::chrono::milliseconds(100);
constexpr Duration kSilenceSlack = std::chrono::milliseconds(20);
constexpr Duration kCancelTimeout = std::chrono::seconds(1);

std::optional<std::vector<std::uint32_t>>
ParseTokens(const std::string& aBody)
{
  try {
    const json::value document =
      json::parse(json::string_view(aBody.data(), aBody.size()));
    const json::value& tokens = document.as_object().at("tokens");
    return json::value_to<std::vector<std::uint32_t>>(tokens);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::uint64_t
MillisecondsLeft(TimePoint aDeadline)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aDeadline - BootClock::now());
  return static_cast<std::uint64_t>(std::max<long long>(0, left.count()));
}

StreamSettings
MakeSettings(const ClassTargets& aTargets,
             TimePoint aDeadline,
             std::uint32_t aMaxTokens)
{
  StreamSettings settings;
  settings.m_targets = aTargets;
  settings.m_deadline = aDeadline;
  settings.m_maxTokens = aMaxTokens;
  return settings;
}

} // namespace

ClassTargets
MakeTargets(const state::WorkClassT& aClass)
{
  ClassTargets targets;
  targets.m_name = aClass.name;
  targets.m_firstToken = std::chrono::milliseconds(aClass.first_token_ms);
  targets.m_tokenInterval = std::chrono::milliseconds(aClass.token_interval_ms);
  targets.m_completion = std::chrono::milliseconds(aClass.completion_ms);
  targets.m_successPerMille = aClass.success_per_mille;
  return targets;
}

Generation::Generation(const GatewayServices& aServices,
                       Worker& aWorker,
                       RequestTrace& aTrace,
                       const Caller& aCaller,
                       GenerationRequest aRequest)
  : m_services(aServices)
  , m_worker(aWorker)
  , m_trace(aTrace)
  , m_request(std::move(aRequest))
  , m_targets(MakeTargets(*aCaller.m_class))
  , m_deadline(aCaller.m_deadline)
  , m_stream(aTrace.Root().m_traceId + "-" + aTrace.Root().m_spanId)
  , m_machine(MakeSettings(m_targets, m_deadline, m_request.m_maxTokens),
              &aWorker.Retries())
  , m_wakeUp(aWorker.Context())
{
}

asio::awaitable<GenerationEnd>
Generation::Run(TokenSink& aSink)
{
  const bool hasTokens = co_await Tokenize();
  if (!hasTokens) {
    m_end.m_reason = FinishReason::NoChain;
    if (m_end.m_text.empty()) {
      m_end.m_text = "no runner could tokenize the prompt";
    }
    co_return m_end;
  }
  while (!m_machine.IsFinished()) {
    co_await Perform(aSink);
    if (!m_machine.IsFinished()) {
      co_await WaitForEvent();
      TakeEvents();
      m_machine.OnTick(m_services.m_clock.Now());
    }
  }
  co_await Perform(aSink);
  m_isOver = true;
  m_end.m_emitted = static_cast<std::uint32_t>(m_machine.Emitted());
  m_end.m_attempts = m_machine.Attempt();
  co_return m_end;
}

ChainRequest
Generation::MakeChainRequest() const
{
  ChainRequest request;
  request.m_model = m_request.m_model;
  request.m_prefixHash = HashId(m_request.m_prompt);
  request.m_deadline = m_deadline;
  request.m_targets = m_targets;
  request.m_gatewayZone = m_services.m_options.m_zone;
  return request;
}

asio::awaitable<bool>
Generation::Tokenize()
{
  const OpenSpan span = m_trace.StartSpan("tokenize");
  ChainRequest request = MakeChainRequest();
  for (int i = 0; i < kMaxTokenizeTries; ++i) {
    const auto table = m_services.m_runners.Read();
    const auto chain =
      m_worker.Planner().Plan(m_services.m_clock.Now(), *table, request);
    if (!chain) {
      m_end.m_text = m_worker.Planner().LastReason().m_text;
      break;
    }
    const RunnerPtr runner = chain->m_stages.front().m_runner;
    std::string body =
      json::serialize(json::object{ { "text", m_request.m_prompt } });
    HttpRequest post = EndpointClient::MakeJsonPost(
      runner->m_address, "/engine/tokenize", std::move(body));
    const CallResult result =
      co_await m_worker.Endpoints().Call(runner->m_address,
                                         std::move(post),
                                         kTokenizeTimeout,
                                         ConnectionChoice::Kept);
    const TimePoint now = m_services.m_clock.Now();
    if (result.m_response) {
      auto tokens = ParseTokens(result.m_response->body());
      if (tokens && !tokens->empty()) {
        m_end.m_promptTokens = static_cast<std::uint32_t>(tokens->size());
        m_machine.OnTokenized(now, std::move(*tokens));
        m_trace.EndSpan(span);
        co_return true;
      }
    }
    runner->m_load->RecordFailure(now);
    request.m_excluded.push_back(runner->m_id);
  }
  m_trace.EndSpan(span, true);
  co_return false;
}

asio::awaitable<void>
Generation::Perform(TokenSink& aSink)
{
  // Planning answers at once and leads to further actions.
  for (auto actions = m_machine.TakeActions(); !actions.empty();
       actions = m_machine.TakeActions()) {
    for (StreamAction& action : actions) {
      Execute(action);
    }
  }
  // Steps are under way before a slow caller is waited for.
  while (!m_tokens.empty()) {
    const EmitToken token = std::move(m_tokens.front());
    m_tokens.pop_front();
    const bool goesOn = co_await aSink.Take(token);
    if (!goesOn) {
      m_tokens.clear();
      m_machine.OnCancel(m_services.m_clock.Now());
      for (StreamAction& action : m_machine.TakeActions()) {
        Execute(action);
      }
    }
  }
}

void
Generation::Execute(StreamAction& aAction)
{
  if (const auto* need = std::get_if<NeedChain>(&aAction)) {
    Plan(*need);
  } else if (const auto* send = std::get_if<SendStep>(&aAction)) {
    Send(*send);
  } else if (const auto* cancel = std::get_if<SendCancel>(&aAction)) {
    Cancel(*cancel);
  } else if (auto* token = std::get_if<EmitToken>(&aAction)) {
    m_tokens.push_back(std::move(*token));
  } else if (const auto* finish = std::get_if<FinishStream>(&aAction)) {
    m_end.m_reason = finish->m_reason;
    m_end.m_text = finish->m_text;
  }
}

void
Generation::Plan(const NeedChain& aNeed)
{
  const OpenSpan span = m_trace.StartSpan("plan");
  ChainRequest request = MakeChainRequest();
  request.m_promptTokens = aNeed.m_promptTokens;
  request.m_expectedTokens = aNeed.m_expectedTokens;
  request.m_excluded = aNeed.m_excluded;
  request.m_answeredSince = aNeed.m_answeredSince;
  const auto table = m_services.m_runners.Read();
  const TimePoint now = m_services.m_clock.Now();
  std::optional<Chain> chain = m_worker.Planner().Plan(now, *table, request);
  const std::string attempt = std::to_string(aNeed.m_attempt);
  m_trace.EndSpan(span, !chain, { { "attempt", attempt } });
  if (chain) {
    m_machine.OnChain(now, std::move(*chain));
  } else {
    m_machine.OnNoChain(now, m_worker.Planner().LastReason().m_text);
  }
}

void
Generation::Send(const SendStep& aSend)
{
  asio::co_spawn(
    m_worker.Context(), RunStep(shared_from_this(), aSend), asio::detached);
}

asio::awaitable<void>
Generation::RunStep(std::shared_ptr<Generation> aSelf, SendStep aSend)
{
  Generation& self = *aSelf;
  if (self.m_isOver) {
    co_return;
  }
  const OpenSpan span =
    self.m_trace.StartSpan("stage " + std::to_string(aSend.m_stage));
  StepCall call;
  call.m_stream = self.m_stream;
  call.m_priority =
    static_cast<int>(self.m_targets.m_firstToken / kPriorityStep);
  call.m_deadlineMs = MillisecondsLeft(self.m_deadline);
  call.m_seed = self.m_request.m_seed;
  call.m_step = std::move(aSend.m_step);
  const std::uint32_t attempt = call.m_step.m_attempt;
  const std::string position = std::to_string(call.m_step.m_position);
  // The state machine judges silence; a little later the connection is given
  // up too, so that it does not hold back the steps behind it.
  const Duration timeout =
    self.m_machine.NextDeadline() - BootClock::now() + kSilenceSlack;
  StepChannel& channel = self.m_worker.StepsTo(aSend.m_runner->m_address);
  StepOutcome outcome = co_await channel.Submit(std::move(call), timeout);
  if (self.m_isOver) {
    co_return;
  }
  if (outcome.m_answer) {
    aSend.m_runner->m_load->RecordReport(BootClock::now(),
                                         outcome.m_answer->m_queued,
                                         outcome.m_answer->m_running);
  }
  self.m_trace.EndSpan(
    span,
    !outcome.m_answer,
    { { "endpoint", aSend.m_runner->m_id }, { "position", position } });
  self.m_events.push_back({ attempt, aSend.m_stage, std::move(outcome) });
  self.m_wakeUp.cancel();
}

void
Generation::Cancel(const SendCancel& aCancel)
{
  std::string body = json::serialize(
    json::object{ { "stream", m_stream }, { "attempt", aCancel.m_attempt } });
  const SocketAddress address = aCancel.m_runner->m_address;
  HttpRequest post =
    EndpointClient::MakeJsonPost(address, "/engine/cancel", std::move(body));
  const auto run = [](EndpointClient& aClient,
                      SocketAddress aAddress,
                      HttpRequest aPost) -> asio::awaitable<void> {
    co_await aClient.Call(std::move(aAddress),
                          std::move(aPost),
                          kCancelTimeout,
                          ConnectionChoice::Kept);
  };
  asio::co_spawn(m_worker.Context(),
                 run(m_worker.Endpoints(), address, std::move(post)),
                 asio::detached);
}

asio::awaitable<void>
Generation::WaitForEvent()
{
  if (!m_events.empty()) {
    co_return;
  }
  const Duration wait = m_machine.NextDeadline() - m_services.m_clock.Now();
  m_wakeUp.expires_after(std::max<Duration>(wait, Duration(0)));
  co_await m_wakeUp.async_wait(asio::as_tuple(asio::use_awaitable));
}

void
Generation::TakeEvents()
{
  while (!m_events.empty()) {
    StepEvent event = std::move(m_events.front());
    m_events.pop_front();
    Feed(std::move(event));
  }
}

void
Generation::Feed(StepEvent aEvent)
{
  const TimePoint now = m_services.m_clock.Now();
  if (aEvent.m_outcome.m_answer) {
    StepResult result = std::move(aEvent.m_outcome.m_answer->m_result);
    result.m_stage = aEvent.m_stage;
    m_machine.OnResult(now, std::move(result));
    return;
  }
  if (aEvent.m_outcome.m_reason.m_code == CallError::Silent) {
    m_machine.OnStepUnresponsive(now, aEvent.m_attempt, aEvent.m_stage);
  } else {
    m_machine.OnStepFailed(now, aEvent.m_attempt, aEvent.m_stage);
  }
}

} // namespace parsleycove
