// Turns the outcomes of one run into figures, one JSON line each.
#include "Bench/Load/Report.h"

#include <algorithm>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace parsleycove::load {

namespace {

constexpr double kMsPerNs = 1e-6;

class FigureWriter
{
public:
  FigureWriter(const LoadOptions& aOptions, std::ostream& aOut)
    : m_options(aOptions)
    , m_out(aOut)
  {
  }

  // Without a baseline or a target the fields are null.
  void Write(const std::string& aFigure,
             double aValue,
             const char* aUnit,
             std::optional<double> aBaseline = {},
             std::optional<double> aTarget = {})
  {
    boost::json::object line;
    line["figure"] =
      m_options.m_profile + '.' + m_options.m_label + '.' + aFigure;
    line["value"] = aValue;
    line["unit"] = aUnit;
    line["baseline"] = nullptr;
    line["ratio"] = nullptr;
    if (aBaseline && *aBaseline > 0) {
      line["baseline"] = *aBaseline;
      line["ratio"] = aValue / *aBaseline;
    }
    line["target"] = nullptr;
    if (aTarget) {
      line["target"] = *aTarget;
    }
    line["seed"] = m_options.m_seed;
    line["commit"] = m_options.m_commit;
    line["machine"] = m_options.m_machine;
    m_out << boost::json::serialize(line) << '\n';
  }

private:
  const LoadOptions& m_options;
  std::ostream& m_out;
};

std::chrono::milliseconds
DeadlineOf(const LoadOptions& aOptions, RequestKind aKind)
{
  switch (aKind) {
    case RequestKind::Briefing:
      return std::chrono::milliseconds(aOptions.m_briefingMs);
    case RequestKind::Booking:
      return std::chrono::milliseconds(aOptions.m_bookingMs);
    case RequestKind::Lookup:
      return std::chrono::milliseconds(aOptions.m_lookupMs);
  }
  return {};
}

void
WritePercentiles(FigureWriter& aWriter,
                 const std::string& aName,
                 std::vector<std::chrono::nanoseconds> aTimes,
                 double aTargetMs)
{
  if (aTimes.empty()) {
    return;
  }
  std::sort(aTimes.begin(), aTimes.end());
  for (const int percent : { 50, 95, 99 }) {
    const std::size_t place = (aTimes.size() - 1) * percent / 100;
    const double ms = static_cast<double>(aTimes[place].count()) * kMsPerNs;
    const std::string figure = aName + "_p" + std::to_string(percent);
    if (percent == 95) {
      aWriter.Write(figure, ms, "ms", {}, aTargetMs);
    } else {
      aWriter.Write(figure, ms, "ms");
    }
  }
}

// Bookings whose runs contradict what the caller was told.
std::uint64_t
CountViolations(const std::vector<PlannedRequest>& aRequests,
                const std::vector<Outcome>& aOutcomes,
                const RunCounts& aRuns)
{
  std::uint64_t violations = 0;
  for (std::size_t i = 0; i < aRequests.size(); ++i) {
    if (aRequests[i].m_kind != RequestKind::Booking) {
      continue;
    }
    const auto found = aRuns.find(aRequests[i].m_text);
    const std::uint64_t runs = found == aRuns.end() ? 0 : found->second;
    const bool lost = aOutcomes[i].m_verdict == Verdict::Right && runs == 0;
    const bool untrue = aOutcomes[i].m_toldNotRun && runs > 0;
    if (runs > 1 || lost || untrue) {
      ++violations;
    }
  }
  return violations;
}

struct Totals
{
  double m_briefings = 0;
  double m_good = 0;
  double m_inWindow = 0; // good ones that ended before the arrivals did
  double m_wrong = 0;
  double m_refused = 0;
  double m_unknown = 0; // bookings only
  double m_failed = 0;
  double m_late = 0;
  double m_recoveryMs = 0; // fault to the last request that went badly
};

Totals
Sum(const LoadOptions& aOptions,
    const std::vector<PlannedRequest>& aRequests,
    const std::vector<Outcome>& aOutcomes)
{
  Totals totals;
  for (std::size_t i = 0; i < aRequests.size(); ++i) {
    const Outcome& outcome = aOutcomes[i];
    const bool inTime =
      outcome.m_end <= DeadlineOf(aOptions, aRequests[i].m_kind);
    const bool right = outcome.m_verdict == Verdict::Right;
    totals.m_good += right && inTime ? 1 : 0;
    totals.m_late += right && !inTime ? 1 : 0;
    totals.m_wrong += outcome.m_verdict == Verdict::Wrong ? 1 : 0;
    totals.m_refused += outcome.m_verdict == Verdict::Refused ? 1 : 0;
    const bool books = aRequests[i].m_kind == RequestKind::Booking;
    const bool unknown = outcome.m_verdict == Verdict::Unknown;
    totals.m_unknown += unknown && books ? 1 : 0;
    totals.m_failed += unknown && !books ? 1 : 0;
    const bool briefs = aRequests[i].m_kind == RequestKind::Briefing;
    totals.m_briefings += briefs ? 1 : 0;
    const std::chrono::duration<double> ended =
      aRequests[i].m_at + outcome.m_end;
    const bool inWindow = ended.count() <= aOptions.m_seconds;
    totals.m_inWindow += right && inTime && inWindow ? 1 : 0;
    const double sinceFaultMs =
      static_cast<double>(aRequests[i].m_at.count()) * kMsPerNs -
      aOptions.m_faultAtSeconds * 1000;
    if (!(right && inTime) && sinceFaultMs > totals.m_recoveryMs) {
      totals.m_recoveryMs = sinceFaultMs;
    }
  }
  return totals;
}

} // namespace

void
PrintReport(const LoadOptions& aOptions,
            const std::vector<PlannedRequest>& aRequests,
            const std::vector<Outcome>& aOutcomes,
            const std::optional<RunCounts>& aRuns,
            std::ostream& aOut)
{
  FigureWriter writer(aOptions, aOut);
  const Totals totals = Sum(aOptions, aRequests, aOutcomes);
  const double all = static_cast<double>(aRequests.size());
  const double offered = all / aOptions.m_seconds;
  const double briefings = totals.m_briefings / aOptions.m_seconds;
  const double bound =
    aOptions.m_boundPerSecond > 0 ? aOptions.m_boundPerSecond : briefings;
  const double baseline = offered - briefings + std::min(bound, briefings);
  writer.Write("offered", offered, "requests/s");
  writer.Write(
    "goodput", totals.m_inWindow / aOptions.m_seconds, "requests/s", baseline);
  writer.Write("right_in_time", totals.m_good, "requests", all);
  writer.Write("wrong", totals.m_wrong, "requests", {}, 0);
  writer.Write("late", totals.m_late, "requests");
  writer.Write("refused", totals.m_refused, "requests");
  writer.Write("booking_unknown", totals.m_unknown, "requests");
  writer.Write("failed", totals.m_failed, "requests");
  std::vector<std::chrono::nanoseconds> first;
  std::vector<std::chrono::nanoseconds> intervals;
  for (const Outcome& outcome : aOutcomes) {
    if (outcome.m_firstToken.count() > 0) {
      first.push_back(outcome.m_firstToken);
    }
    intervals.insert(
      intervals.end(), outcome.m_intervals.begin(), outcome.m_intervals.end());
  }
  if (!intervals.empty()) {
    const auto longest = std::max_element(intervals.begin(), intervals.end());
    const double ms = static_cast<double>(longest->count()) * kMsPerNs;
    writer.Write("token_interval_longest", ms, "ms");
  }
  WritePercentiles(writer, "first_token", std::move(first), 1500);
  WritePercentiles(writer, "token_interval", std::move(intervals), 40);
  if (aRuns) {
    const auto violations = CountViolations(aRequests, aOutcomes, *aRuns);
    writer.Write(
      "booking_violations", static_cast<double>(violations), "requests", {}, 0);
  }
  if (!aOptions.m_fault.empty()) {
    writer.Write("recovery_" + aOptions.m_fault, totals.m_recoveryMs, "ms");
  }
}

} // namespace parsleycove::load
