// One JSON line for each decision that touches a request or a belief.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Telemetry/DecisionEvent.h"
#include "Telemetry/LineSink.h"

namespace parsleycove {

// A line under construction.
class DecisionLine
{
public:
  DecisionLine(std::string_view aVm,
               DecisionEvent aEvent,
               std::uint64_t aUnixMs);

  DecisionLine& Add(std::string_view aKey, std::string_view aText);
  DecisionLine& Add(std::string_view aKey, std::int64_t aNumber);
  // A finite number, with three decimals.
  DecisionLine& AddDecimal(std::string_view aKey, double aNumber);
  // Whole milliseconds.
  DecisionLine& AddMs(std::string_view aKey, Duration aDuration);

  // The line without its end.
  std::string Finish() const { return m_text + "}"; }

private:
  void AddKey(std::string_view aKey);

  std::string m_text;
};

struct DecisionLogLimits
{
  // Lines a second, and how many may come at once. Ordinary lines stop at
  // half of the burst; the rest is kept for refusals, failures and beliefs.
  // A front VM at its daily rate writes about ten lines a second.
  double m_linesPerSecond = 200;
  double m_burst = 800;
};

// Any thread. Lines beyond the limits are counted; the count is written once
// there is room again, so that a gap is seen in the log itself.
class DecisionLog
{
public:
  DecisionLog(std::string aVm, LineSink& aSink, DecisionLogLimits aLimits = {});

  // Calls aFill with the line unless the line is dropped.
  template<typename Fill>
  void Write(DecisionEvent aEvent, Fill aFill)
  {
    if (!Take(aEvent)) {
      return;
    }
    DecisionLine line(m_vm, aEvent, SystemClock().UnixMs());
    aFill(line);
    m_sink.Write(line.Finish());
  }

  std::uint64_t Dropped() const;

private:
  bool Take(DecisionEvent aEvent);
  void ReportDropped();

  const std::string m_vm;
  LineSink& m_sink;
  const DecisionLogLimits m_limits;
  mutable std::mutex m_mutex;
  double m_tokens;
  TimePoint m_filledAt{};
  TimePoint m_reportedAt{};
  std::uint64_t m_dropped = 0;
  std::uint64_t m_unreported = 0;
};

// Writes lines to standard output. A reader that is too slow costs lines, never
// time.
class StandardOutputSink final : public LineSink
{
public:
  void Write(const std::string& aLine) override;
};

} // namespace parsleycove
