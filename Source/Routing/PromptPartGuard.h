// Finds the parts of requests that crash endpoints, and keeps requests with
// such a part away from the endpoints.
//
// Fault patterns: one part of a prompt crashes each engine that begins to
// answer it, and requests with the part arrive at all gateways, no two alike;
// or one request crashes each endpoint and comes again whole. The other
// requests on the endpoint, and those that share further parts, the path or the
// caller with them, are sound. So a part is a piece of a prompt, or the request
// as a whole (Base/RequestIdentity.h). Every gateway reports which requests an
// endpoint had not begun to answer when it crashed; the control group compares
// the reports.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "Base/Clock.h"
#include "Routing/Random.h"
#include "StateGenerated.h"

namespace parsleycove {

// One start of an engine, or of an endpoint of a plain service.
struct EngineStart
{
  std::string m_id;
  std::uint64_t m_incarnation = 0;

  bool operator==(const EngineStart&) const = default;
  bool operator<(const EngineStart& aOther) const
  {
    return std::tie(m_id, m_incarnation) <
           std::tie(aOther.m_id, aOther.m_incarnation);
  }
};

// An attempt that ended before its first event.
struct UnansweredAttempt
{
  std::string m_attemptId;
  std::vector<std::string> m_parts;
  // Engines of its path.
  std::vector<EngineStart> m_engines;
};

enum class PartVerdict
{
  // No part of the request is quarantined.
  Serve,
  // A part is quarantined, and one request may be let through as a trial if the
  // control group grants it.
  Try,
  Refuse,
};

struct PartDecision
{
  PartVerdict m_verdict = PartVerdict::Serve;
  // The quarantined part; empty with Serve.
  std::string m_part;
  // Time until the next trial; zero with Serve.
  Duration m_untilTrial{};
};

// Not thread-safe; used by one thread.
//
// Invariant: m_proved and m_order hold the same parts, at most kMaxProved.
class PromptPartGuard
{
public:
  using Parts = std::span<const std::string_view>;

  // An answer on a part proves the part sound for this long.
  static constexpr Duration kProvedFor = std::chrono::seconds(30);
  // An attempt and the loss of its engine belong together within this time.
  static constexpr Duration kMatchWindow = std::chrono::seconds(2);
  // Gateways that clear the same part are spread over this time.
  static constexpr Duration kMaxClearDelay = std::chrono::milliseconds(150);
  // Crashes that cannot be reported yet are kept for this long.
  static constexpr Duration kDeferredFor = std::chrono::seconds(30);
  static constexpr std::size_t kMaxCrashes = 64;
  static constexpr std::size_t kMaxProved = 8192;
  static constexpr std::size_t kMaxUnanswered = 256;

  explicit PromptPartGuard(std::uint64_t aSeed);

  // Records that an answer to a request with these parts has begun.
  void RecordBegun(TimePoint aNow, Parts aParts);
  // Returns true if answers have begun lately on each of the parts.
  bool AreProved(TimePoint aNow, Parts aParts) const;
  void RecordUnanswered(TimePoint aNow, UnansweredAttempt aAttempt);
  // Records that this gateway lost an engine. Whether the engine or the link to
  // it ended is not known yet.
  void RecordLostEngine(TimePoint aNow, EngineStart aEngine);
  // Records that a lost engine has ended.
  void ConfirmLostEngine(const EngineStart& aEngine);
  // Confirms the lost engines that the control group lists as started again.
  // All endpoints of a service may end at once, and then none of them is left
  // to show that the links work.
  void ConfirmRestarted(const state::ConfigImageT& aImage);

  // Returns the reports that are due, one for each confirmed loss, and forgets
  // them. Parts that are proved sound are left out, and requests without
  // further parts. Without any proof pieces of prompts are kept for later:
  // before the first answer, a piece that all requests share looks like the one
  // that crashes.
  std::vector<state::ReportPromptCrashT> TakeReports(TimePoint aNow);
  // Returns the parts of the control group's table that this gateway knows to
  // be sound and that are still suspected after a random delay.
  std::vector<std::string> TakeClears(TimePoint aNow,
                                      const state::ConfigImageT& aImage);

  // Decides on a request by the control group's table. aUnixMs is the time of
  // day.
  static PartDecision Decide(const state::ConfigImageT& aImage,
                             Parts aParts,
                             std::uint64_t aUnixMs);

private:
  struct Unanswered
  {
    TimePoint m_at{};
    UnansweredAttempt m_attempt;
  };

  // A lost engine, and the requests that it had not begun to answer and that
  // were not reported yet.
  struct Crash
  {
    // When the engine was last found lost.
    TimePoint m_at{};
    EngineStart m_engine;
    bool m_isConfirmed = false;
    std::vector<UnansweredAttempt> m_attempts;
  };

  bool IsProved(TimePoint aNow, std::string_view aPart) const;
  // Returns true if an answer has begun lately on any prompt with shared parts.
  bool HasAnyProof(TimePoint aNow) const;
  void Forget(TimePoint aNow);
  // Returns nullptr if the engine was not lost lately.
  Crash* FindCrash(const EngineStart& aEngine);
  // Drops a crash if there are kMaxCrashes, one without attempts first.
  void MakeRoom();
  static void AddSuspect(Crash& aCrash, const UnansweredAttempt& aAttempt);
  // Moves the parts that may be reported now out of aCrash. Returns a report
  // without suspects if there are none.
  state::ReportPromptCrashT TakeReport(TimePoint aNow, Crash& aCrash) const;

  Random m_random;
  // When an answer on the part last began.
  std::unordered_map<std::string, TimePoint> m_proved;
  // When an answer last began; std::nullopt before the first one.
  std::optional<TimePoint> m_lastProofAt;
  // The parts of m_proved in the order in which they were first proved.
  std::deque<std::string> m_order;
  std::deque<Unanswered> m_unanswered;
  // Of distinct engine starts, oldest first; at most kMaxCrashes.
  std::deque<Crash> m_crashes;
  // When this gateway clears a suspected part.
  std::map<std::string, TimePoint, std::less<>> m_clearAt;
};

} // namespace parsleycove
