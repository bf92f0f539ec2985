// POST /v1/chat/completions.
#include "Gateway/ChatHandler.h"

#include <memory>
#include <utility>

#include "Base/DrainState.h"
#include "Gateway/ChatRequest.h"
#include "Gateway/ChatSinks.h"
#include "Gateway/GatewayServices.h"
#include "Gateway/RequestContext.h"
#include "Gateway/RequestTrace.h"
#include "Gateway/Responder.h"
#include "Gateway/Worker.h"

namespace parsleycove {

namespace {

constexpr Duration kRetryNoRunner = std::chrono::seconds(1);
constexpr std::uint64_t kMsPerSecond = 1000;

// Returns the error that an unfinished text ends with.
ApiError
ErrorOf(const GenerationEnd& aEnd)
{
  const ApiErrorCode code = aEnd.m_reason == FinishReason::DeadlineExceeded
                              ? ApiErrorCode::DeadlineExceeded
                              : ApiErrorCode::NoRunner;
  return { code, aEnd.m_text, CallOutcome::NotApplicable, kRetryNoRunner };
}

ApiError
ErrorOf(const AdmissionDecision& aDecision)
{
  switch (aDecision.m_refusal) {
    case AdmissionRefusal::AccountShare:
      return { ApiErrorCode::Overloaded,
               "the client account's own requests use up its share",
               CallOutcome::NotApplicable,
               aDecision.m_retryAfter };
    case AdmissionRefusal::NoCapacity:
      return { ApiErrorCode::NoRunner,
               "no runner serves the model at present",
               CallOutcome::NotApplicable,
               aDecision.m_retryAfter };
    default:
      return { ApiErrorCode::Overloaded,
               "the request would not be answered within its class's target",
               CallOutcome::NotApplicable,
               aDecision.m_retryAfter };
  }
}

bool
IsWhole(const GenerationEnd& aEnd)
{
  return aEnd.m_reason == FinishReason::End ||
         aEnd.m_reason == FinishReason::MaxTokens;
}

std::string
NameOfFinish(const GenerationEnd& aEnd)
{
  return aEnd.m_reason == FinishReason::MaxTokens ? "length" : "stop";
}

asio::awaitable<void>
AnswerWhole(Generation& aGeneration,
            TargetWatch& aWatch,
            const ChatNames& aNames,
            GenerationEnd& aEnd,
            Responder& aResponder)
{
  TextSink sink(aWatch);
  aEnd = co_await aGeneration.Run(sink);
  if (!IsWhole(aEnd)) {
    co_await aResponder.SendError(ErrorOf(aEnd));
    co_return;
  }
  co_await aResponder.SendJson(
    200, PrintCompletion(aNames, sink.Text(), NameOfFinish(aEnd), aEnd));
}

asio::awaitable<void>
AnswerEvents(Generation& aGeneration,
             TargetWatch& aWatch,
             const ChatNames& aNames,
             GenerationEnd& aEnd,
             Responder& aResponder)
{
  EventSink sink(aWatch, aResponder, aNames);
  aEnd = co_await aGeneration.Run(sink);
  if (IsWhole(aEnd)) {
    co_await sink.End(NameOfFinish(aEnd));
  } else if (aEnd.m_reason == FinishReason::Cancelled) {
    aResponder.CloseAfterwards();
  } else if (aResponder.HasStarted()) {
    co_await sink.Fail(ErrorOf(aEnd).Print());
  } else {
    co_await aResponder.SendError(ErrorOf(aEnd));
  }
}

} // namespace

ChatHandler::ChatHandler(const GatewayServices& aServices)
  : m_services(aServices)
{
}

asio::awaitable<void>
ChatHandler::Handle(const RequestContext& aContext, Responder& aResponder)
{
  const ActiveRequest active(m_services.m_drain);
  ApiError refusal;
  const auto caller = AdmitCaller(m_services, aContext, refusal);
  if (!caller) {
    co_await aResponder.SendError(refusal);
    co_return;
  }
  ChatRequestReason reason;
  const auto chat = ChatRequest::Parse(aContext.m_request.body(), reason);
  if (!chat) {
    refusal = { ApiErrorCode::BadRequest, reason.m_text };
    co_await aResponder.SendError(refusal);
    co_return;
  }
  if (!caller->m_view->FindModel(chat->m_model)) {
    refusal = { ApiErrorCode::NotFound,
                "there is no model \"" + chat->m_model + "\"" };
    co_await aResponder.SendError(refusal);
    co_return;
  }
  // An estimate of the tokens to compute, good enough to share by.
  constexpr double kBytesPerToken = 4;
  AdmissionGate& gate = aContext.m_worker.Admission();
  AdmissionRequest request;
  request.m_id = gate.NewId();
  request.m_account = caller->m_account->name;
  request.m_resource = chat->m_model;
  request.m_targets = MakeTargets(*caller->m_class);
  request.m_cost = static_cast<double>(chat->m_prompt.size()) / kBytesPerToken +
                   chat->m_maxTokens;
  request.m_deadline = caller->m_deadline;
  const std::uint64_t id = request.m_id;
  const OpenSpan span = aContext.m_trace.StartSpan("admission");
  const AdmissionDecision answer = co_await gate.Enter(std::move(request));
  const bool isAdmitted = answer.m_status == AdmissionStatus::Admitted;
  aContext.m_trace.EndSpan(span, !isAdmitted);
  if (!isAdmitted) {
    co_await aResponder.SendError(ErrorOf(answer));
    co_return;
  }
  const AdmissionOutcome outcome =
    co_await Run(aContext, aResponder, *caller, *chat);
  gate.Leave(id, outcome);
}

asio::awaitable<AdmissionOutcome>
ChatHandler::Run(const RequestContext& aContext,
                 Responder& aResponder,
                 const Caller& aCaller,
                 const ChatRequest& aChat)
{
  GenerationRequest request;
  request.m_model = aChat.m_model;
  request.m_prompt = aChat.m_prompt;
  request.m_maxTokens = aChat.m_maxTokens;
  request.m_seed = aChat.m_seed;
  auto generation = std::make_shared<Generation>(m_services,
                                                 aContext.m_worker,
                                                 aContext.m_trace,
                                                 aCaller,
                                                 std::move(request));
  const ChatNames names{ "chatcmpl-" + aContext.m_trace.Root().m_traceId,
                         aChat.m_model,
                         m_services.m_clock.UnixMs() / kMsPerSecond };
  TargetWatch watch(MakeTargets(*aCaller.m_class), aContext.m_arrival);
  GenerationEnd end;
  if (aChat.m_isStream) {
    co_await AnswerEvents(*generation, watch, names, end, aResponder);
  } else {
    co_await AnswerWhole(*generation, watch, names, end, aResponder);
  }
  aContext.m_trace.AddRootAttribute("attempts", std::to_string(end.m_attempts));
  aContext.m_trace.AddRootAttribute("tokens", std::to_string(end.m_emitted));
  AdmissionOutcome outcome;
  outcome.m_inTime = IsWhole(end) && watch.IsFirstInTime();
  outcome.m_tokens = end.m_emitted + end.m_promptTokens;
  co_return outcome;
}

} // namespace parsleycove
