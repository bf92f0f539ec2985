// Exchanges evidence about prompt parts that crash engines with the control
// group, and decides whether a request may be sent.
#include "Forwarding/PromptPartReporter.h"

#include <utility>

#include "Forwarding/ControlCalls.h"
#include "Forwarding/ForwardMetrics.h"
#include "State/NamedEntities.h"
#include "State/PromptPartTable.h"
#include "Telemetry/DecisionLog.h"
#include "Telemetry/Logging.h"

namespace parsleycove {

namespace {

constexpr Duration kProposeTimeout = std::chrono::milliseconds(800);
// A report is of no use later: by then the request has crashed further
// endpoints, and these crashes are reported.
constexpr Duration kReportLifetime = std::chrono::seconds(15);
constexpr std::size_t kMaxPending = 64;
// Callers wait meanwhile; without an answer the request is refused.
constexpr Duration kTrialTimeout = std::chrono::milliseconds(400);

EngineStart
StartOf(const Runner& aEngine)
{
  return { aEngine.m_id, aEngine.m_incarnation };
}

std::string
ListParts(const state::ReportPromptCrashT& aReport)
{
  std::set<std::string_view> parts;
  for (const auto& suspect : aReport.suspects) {
    parts.insert(suspect->parts.begin(), suspect->parts.end());
  }
  std::string text;
  for (const std::string_view part : parts) {
    text.append(text.empty() ? "" : ",").append(part);
  }
  return text;
}

std::string_view
FindReleaseReason(const state::ConfigImageT& aImage, const std::string& aPart)
{
  const auto* listed = FindEntity(aImage.prompt_parts, aPart);
  return listed != nullptr && listed->cleared_unix_ms != 0
           ? "an answer on the part has begun"
           : "other parts account for its crashes";
}

} // namespace

PromptPartReporter::PromptPartReporter(asio::io_context& aContext,
                                       ControlPort& aControl,
                                       DecisionLog& aLog,
                                       ForwardMetrics& aMetrics,
                                       std::uint64_t aSeed)
  : m_context(aContext)
  , m_control(aControl)
  , m_log(aLog)
  , m_metrics(aMetrics)
  , m_guard(aSeed)
{
}

void
PromptPartReporter::RecordBegun(TimePoint aNow, Parts aParts)
{
  m_guard.RecordBegun(aNow, aParts);
}

void
PromptPartReporter::RecordUnanswered(TimePoint aNow,
                                     std::string_view aAttemptId,
                                     Parts aParts,
                                     const StagePath& aPath)
{
  if (aParts.empty()) {
    return;
  }
  UnansweredAttempt attempt;
  attempt.m_attemptId = aAttemptId;
  attempt.m_parts.assign(aParts.begin(), aParts.end());
  for (const PathStage& stage : aPath.m_stages) {
    attempt.m_engines.push_back(StartOf(*stage.m_runner));
  }
  m_guard.RecordUnanswered(aNow, std::move(attempt));
}

void
PromptPartReporter::RecordUnanswered(TimePoint aNow,
                                     std::string_view aAttemptId,
                                     Parts aParts,
                                     const Runner& aEndpoint)
{
  UnansweredAttempt attempt;
  attempt.m_attemptId = aAttemptId;
  attempt.m_parts.assign(aParts.begin(), aParts.end());
  attempt.m_engines.push_back(StartOf(aEndpoint));
  m_guard.RecordUnanswered(aNow, std::move(attempt));
}

void
PromptPartReporter::RecordLostEngine(TimePoint aNow, const Runner& aEngine)
{
  m_guard.RecordLostEngine(aNow, StartOf(aEngine));
}

void
PromptPartReporter::ConfirmLostEngine(TimePoint aNow, const Runner& aEngine)
{
  m_guard.ConfirmLostEngine(StartOf(aEngine));
  SendReports(aNow);
}

bool
PromptPartReporter::AreProved(TimePoint aNow, Parts aParts) const
{
  return m_guard.AreProved(aNow, aParts);
}

PartDecision
PromptPartReporter::Decide(Parts aParts) const
{
  const auto view = m_control.View();
  return PromptPartGuard::Decide(view->Image(), aParts, SystemClock().UnixMs());
}

asio::awaitable<bool>
PromptPartReporter::ClaimTrial(std::string aPart, std::string aAttemptId)
{
  state::TryPromptPartT claim;
  claim.part = aPart;
  claim.attempt = aAttemptId;
  claim.unix_ms = SystemClock().UnixMs();
  const ProposeOutcome outcome =
    co_await parsleycove::Propose(m_control,
                                  m_context,
                                  MakeCommand(std::move(claim)),
                                  BootClock::now() + kTrialTimeout);
  const bool isGranted =
    outcome.m_result && outcome.m_result->code == state::ResultCode::Ok;
  m_log.Write(DecisionEvent::PromptPartTried, [&](DecisionLine& aLine) {
    aLine.Add("part", aPart)
      .Add("id", aAttemptId)
      .Add("outcome", isGranted ? "granted" : "not_granted");
  });
  co_return isGranted;
}

void
PromptPartReporter::Flush(TimePoint aNow)
{
  const auto view = m_control.View();
  m_guard.ConfirmRestarted(view->Image());
  SendReports(aNow);
  SendPendingAgain(aNow);
  SendClears(aNow, view->Image());
  LogChanges(view->Image());
}

void
PromptPartReporter::SendReports(TimePoint aNow)
{
  for (state::ReportPromptCrashT& report : m_guard.TakeReports(aNow)) {
    ++m_metrics.PromptCrashReports();
    m_log.Write(DecisionEvent::PromptCrashReported, [&](DecisionLine& aLine) {
      aLine.Add("endpoint", report.endpoint->id)
        .Add("suspects", static_cast<std::int64_t>(report.suspects.size()))
        .Add("parts", ListParts(report));
    });
    report.unix_ms = SystemClock().UnixMs();
    if (m_pending.size() >= kMaxPending) {
      m_pending.pop_front();
    }
    m_pending.push_back({ MakeCommand(std::move(report)),
                          aNow,
                          aNow,
                          std::make_shared<std::atomic<bool>>(false) });
    SendReport(aNow, m_pending.back());
  }
}

void
PromptPartReporter::SendReport(TimePoint aNow, PendingReport& aReport)
{
  aReport.m_sentAt = aNow;
  m_control.Propose(aReport.m_command,
                    aNow + kProposeTimeout,
                    [isAnswered = aReport.m_isAnswered](
                      const auto& aResult, const ControlReason& /*aReason*/) {
                      if (aResult) {
                        isAnswered->store(true);
                      }
                    });
}

void
PromptPartReporter::SendPendingAgain(TimePoint aNow)
{
  std::erase_if(m_pending, [aNow](const PendingReport& aReport) {
    return aReport.m_isAnswered->load() ||
           aNow - aReport.m_firstSentAt >= kReportLifetime;
  });
  for (PendingReport& report : m_pending) {
    if (aNow - report.m_sentAt >= kProposeTimeout) {
      SendReport(aNow, report);
    }
  }
}

void
PromptPartReporter::SendClears(TimePoint aNow,
                               const state::ConfigImageT& aImage)
{
  state::ClearPromptPartsT clear;
  clear.parts = m_guard.TakeClears(aNow, aImage);
  if (!clear.parts.empty()) {
    clear.unix_ms = SystemClock().UnixMs();
    Propose(aNow, MakeCommand(std::move(clear)));
  }
}

void
PromptPartReporter::LogChanges(const state::ConfigImageT& aImage)
{
  std::set<std::string> quarantined;
  for (const auto& part : aImage.prompt_parts) {
    if (!IsQuarantined(*part)) {
      continue;
    }
    quarantined.insert(part->id);
    if (!m_quarantined.contains(part->id)) {
      m_log.Write(
        DecisionEvent::PromptPartQuarantined, [&](DecisionLine& aLine) {
          aLine.Add("part", part->id)
            .Add("crashes", static_cast<std::int64_t>(part->crashes.size()))
            .Add("last_endpoint",
                 part->crashes.empty() || !part->crashes.back()
                   ? ""
                   : part->crashes.back()->endpoint->id);
        });
    }
  }
  for (const std::string& part : m_quarantined) {
    if (!quarantined.contains(part)) {
      m_log.Write(DecisionEvent::PromptPartCleared, [&](DecisionLine& aLine) {
        aLine.Add("part", part).Add("why", FindReleaseReason(aImage, part));
      });
    }
  }
  m_quarantined = std::move(quarantined);
}

void
PromptPartReporter::Propose(TimePoint aNow, state::CommandT aCommand)
{
  // A lost clear is due again after a while.
  m_control.Propose(
    std::move(aCommand),
    aNow + kProposeTimeout,
    [](const auto& aResult, const ControlReason& aReason) {
      if (!aResult) {
        Log(LogLevel::Warning,
            "evidence on prompt parts was not taken by the control group",
            { { "why", aReason.m_text } });
      }
    });
}

} // namespace parsleycove
