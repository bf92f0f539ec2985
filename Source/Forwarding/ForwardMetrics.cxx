// Counters and latency histograms of forwarded requests.
#include "Forwarding/ForwardMetrics.h"

namespace parsleycove {

ForwardMetrics::ForwardMetrics(MetricRegistry& aRegistry)
  : m_eventGaps(aRegistry.AddHistogram("parsleycove_event_gap_seconds", ""))
  , m_lateFirstEvents(
      aRegistry.AddCounter("parsleycove_late_first_events_total", ""))
  , m_pausesMoved(
      aRegistry.AddCounter("parsleycove_pauses_total", "path=\"moved\""))
  , m_pausesInPlace(
      aRegistry.AddCounter("parsleycove_pauses_total", "path=\"kept\""))
  , m_retries(aRegistry.AddCounter("parsleycove_repeats_total", ""))
  , m_resumes(aRegistry.AddCounter("parsleycove_resumes_total", ""))
  , m_reroutes(aRegistry.AddCounter("parsleycove_reroutes_total", ""))
  , m_probes(aRegistry.AddCounter("parsleycove_probes_total", ""))
  , m_newConnections(
      aRegistry.AddCounter("parsleycove_endpoint_connections_total", ""))
  , m_leavingNotices(
      aRegistry.AddCounter("parsleycove_endpoint_leaving_total", ""))
  , m_pauseNotices(
      aRegistry.AddCounter("parsleycove_endpoint_paused_total", ""))
  , m_limitNotices(
      aRegistry.AddCounter("parsleycove_endpoint_limits_total", ""))
  , m_cutsAfterSilence(
      aRegistry.AddCounter("parsleycove_cuts_after_silence_total", ""))
  , m_stays(aRegistry.AddCounter("parsleycove_stream_stays_total", ""))
  , m_answersOverBudget(
      aRegistry.AddCounter("parsleycove_answers_over_budget_total", ""))
  , m_promptCrashReports(
      aRegistry.AddCounter("parsleycove_prompt_crash_reports_total", ""))
  , m_lostServices(aRegistry.AddCounter("parsleycove_services_lost_total", ""))
  , m_passedOn(aRegistry.AddCounter("parsleycove_passed_on_total", ""))
  , m_takenOver(aRegistry.AddCounter("parsleycove_taken_over_total", ""))
  , m_passedOnAnswers(
      aRegistry.AddHistogram("parsleycove_passed_on_answer_seconds", ""))
{
  for (std::size_t level = 0; level < kMaxLevels; ++level) {
    const std::string label = "level=\"" + std::to_string(level) + "\"";
    m_queuedAt[level] =
      &aRegistry.AddCounter("parsleycove_queued_by_level_total", label);
    m_startedAt[level] =
      &aRegistry.AddCounter("parsleycove_started_by_level_total", label);
    m_refusedAt[level] =
      &aRegistry.AddCounter("parsleycove_refused_by_level_total", label);
    aRegistry.AddGauge(
      "parsleycove_waiting_by_level", label, [queues = m_queues, level] {
        return queues->m_waiting[level].load();
      });
    aRegistry.AddGauge("parsleycove_reserved_percent_by_level",
                       label,
                       [queues = m_queues, level] {
                         return queues->m_reservedPercent[level].load();
                       });
  }
  for (std::size_t kind = 0; kind < kRequestKindNames.size(); ++kind) {
    const std::string label =
      "kind=\"" + std::string(kRequestKindNames[kind].m_name) + "\"";
    m_firstAnswers[kind] =
      &aRegistry.AddHistogram("parsleycove_first_answer_seconds", label);
    for (std::size_t end = 0; end < kRequestEndNames.size(); ++end) {
      m_ends[kind][end] = &aRegistry.AddCounter(
        "parsleycove_forwarded_total",
        label + ",end=\"" + std::string(kRequestEndNames[end].m_name) + "\"");
    }
  }
}

void
ForwardMetrics::Count(RequestKind aKind, RequestEnd aEnd)
{
  ++*m_ends[static_cast<std::size_t>(aKind)][static_cast<std::size_t>(aEnd)];
}

void
ForwardMetrics::SetQueue(std::size_t aLevel,
                         std::size_t aWaiting,
                         double aReservedPercent)
{
  m_queues->m_waiting[Row(aLevel)] = static_cast<double>(aWaiting);
  m_queues->m_reservedPercent[Row(aLevel)] = aReservedPercent;
}

void
ForwardMetrics::RecordFirstAnswer(RequestKind aKind, Duration aTaken)
{
  m_firstAnswers[static_cast<std::size_t>(aKind)]->Record(aTaken);
}

} // namespace parsleycove
