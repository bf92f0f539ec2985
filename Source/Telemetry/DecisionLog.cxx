// One JSON line for each decision that touches a request or a belief.
#include "Telemetry/DecisionLog.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "Telemetry/StandardStreams.h"

namespace parsleycove {

namespace {

constexpr unsigned char kFirstPlain = 0x20;
// How often lost lines are told at most.
constexpr Duration kReportInterval = std::chrono::milliseconds(500);

void
AppendEscaped(std::string& aOut, std::string_view aText)
{
  constexpr std::string_view kHex = "0123456789abcdef";
  for (const char letter : aText) {
    const auto code = static_cast<unsigned char>(letter);
    if (letter == '"' || letter == '\\') {
      aOut += '\\';
      aOut += letter;
    } else if (code < kFirstPlain) {
      aOut += "\\u00";
      aOut += kHex[code >> 4U];
      aOut += kHex[code & 0xFU];
    } else {
      aOut += letter;
    }
  }
}

} // namespace

DecisionLine::DecisionLine(std::string_view aVm,
                           DecisionEvent aEvent,
                           std::uint64_t aUnixMs)
{
  m_text = "{\"unix_ms\":" + std::to_string(aUnixMs) + ",\"vm\":\"";
  AppendEscaped(m_text, aVm);
  m_text += "\",\"event\":\"";
  m_text += NameOf(kDecisionEventNames, aEvent);
  m_text += '"';
}

void
DecisionLine::AddKey(std::string_view aKey)
{
  m_text.append(",\"").append(aKey).append("\":");
}

DecisionLine&
DecisionLine::Add(std::string_view aKey, std::string_view aText)
{
  AddKey(aKey);
  m_text += '"';
  AppendEscaped(m_text, aText);
  m_text += '"';
  return *this;
}

DecisionLine&
DecisionLine::Add(std::string_view aKey, std::int64_t aNumber)
{
  AddKey(aKey);
  m_text += std::to_string(aNumber);
  return *this;
}

DecisionLine&
DecisionLine::AddDecimal(std::string_view aKey, double aNumber)
{
  std::array<char, 40> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.3f", aNumber);
  AddKey(aKey);
  m_text.append(text.data(), static_cast<std::size_t>(std::max(length, 0)));
  return *this;
}

DecisionLine&
DecisionLine::AddMs(std::string_view aKey, Duration aDuration)
{
  return Add(
    aKey,
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

DecisionLog::DecisionLog(std::string aVm,
                         LineSink& aSink,
                         DecisionLogLimits aLimits)
  : m_vm(std::move(aVm))
  , m_sink(aSink)
  , m_limits(aLimits)
  , m_tokens(aLimits.m_burst)
{
}

bool
DecisionLog::Take(DecisionEvent aEvent)
{
  bool mayReport = false;
  {
    const std::lock_guard guard(m_mutex);
    const TimePoint now = BootClock::now();
    const double seconds =
      m_filledAt == TimePoint{}
        ? 0
        : std::chrono::duration<double>(now - m_filledAt).count();
    m_filledAt = now;
    m_tokens = std::min(m_limits.m_burst,
                        m_tokens + seconds * m_limits.m_linesPerSecond);
    const double floor = IsEssential(aEvent) ? 1 : m_limits.m_burst / 2;
    if (m_tokens < floor) {
      ++m_dropped;
      ++m_unreported;
      return false;
    }
    m_tokens -= 1;
    mayReport = m_unreported != 0 && m_tokens >= 1 &&
                now - m_reportedAt >= kReportInterval;
    if (mayReport) {
      m_tokens -= 1;
      m_reportedAt = now;
    }
  }
  if (mayReport) {
    ReportDropped();
  }
  return true;
}

void
DecisionLog::ReportDropped()
{
  std::uint64_t count = 0;
  {
    const std::lock_guard guard(m_mutex);
    count = std::exchange(m_unreported, 0);
  }
  if (count != 0) {
    DecisionLine line(
      m_vm, DecisionEvent::LinesDropped, SystemClock().UnixMs());
    line.Add("count", static_cast<std::int64_t>(count));
    m_sink.Write(line.Finish());
  }
}

std::uint64_t
DecisionLog::Dropped() const
{
  const std::lock_guard guard(m_mutex);
  return m_dropped;
}

void
StandardOutputSink::Write(const std::string& aLine)
{
  StandardOutput().Write(aLine);
}

} // namespace parsleycove
