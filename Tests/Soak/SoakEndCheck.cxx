// Checks how requests ended that no fault excuses.
#include "Soak/SoakEndCheck.h"

#include <algorithm>
#include <array>

namespace parsleycove {

namespace {

// A gateway may still act on a fault of a back end that is over: probes and
// connections that were lost with it time out only later.
constexpr std::chrono::seconds kAftermathS{ 2 };
// An answer that is due at the deadline may come so much earlier.
constexpr std::chrono::milliseconds kDeadlineMarginMs{ 150 };

constexpr std::array<const char*, 6> kEndNames{
  "is open",    "was answered",   "was refused",
  "was failed", "was broken off", "timed out"
};

// A VM that takes a request over checks the key again, perhaps by a newer
// configuration than the one by which the request was accepted.
bool
IsDeniedByHelper(const SoakAttempt& aAttempt)
{
  return !aAttempt.m_helpers.empty() && aAttempt.m_why.starts_with("401");
}

bool
IsSound(const SoakLedger& aLedger, const SoakAttempt& aAttempt)
{
  const SoakHarms& harms = aLedger.Harms();
  return !aAttempt.m_isExcused && !IsDeniedByHelper(aAttempt) &&
         !aAttempt.m_backends.empty() &&
         !harms.Meets(
           aAttempt.m_entry, aAttempt.m_sentAt, aAttempt.m_endedAt) &&
         !aLedger.LostLinks().Meets(aAttempt.m_entry,
                                    aAttempt.m_sentAt - kAftermathS,
                                    aAttempt.m_endedAt) &&
         !harms.Meets(aAttempt.m_link, aAttempt.m_sentAt, aAttempt.m_endedAt) &&
         std::none_of(aAttempt.m_helpers.begin(),
                      aAttempt.m_helpers.end(),
                      [&](const std::string& aHelper) {
                        return harms.Meets(
                          aHelper, aAttempt.m_sentAt, aAttempt.m_endedAt);
                      }) &&
         std::none_of(aAttempt.m_backends.begin(),
                      aAttempt.m_backends.end(),
                      [&](const std::string& aBackend) {
                        return harms.Meets(aBackend,
                                           aAttempt.m_sentAt - kAftermathS,
                                           aAttempt.m_endedAt);
                      });
}

bool
MeetsSilence(const SoakLedger& aLedger, const SoakAttempt& aAttempt)
{
  return std::any_of(aAttempt.m_backends.begin(),
                     aAttempt.m_backends.end(),
                     [&](const std::string& aBackend) {
                       return aLedger.Silences().Meets(
                         aBackend, aAttempt.m_sentAt, aAttempt.m_endedAt);
                     });
}

} // namespace

SoakEndCounts
CheckEnds(SoakLedger& aLedger)
{
  SoakEndCounts counts;
  for (const auto& [name, attempt] : aLedger.Attempts()) {
    if (attempt.m_end == AttemptEnd::Open || !IsSound(aLedger, attempt)) {
      continue;
    }
    ++counts.m_sound;
    const bool isSilent = MeetsSilence(aLedger, attempt);
    const bool isInStop = aLedger.Stops().Meets(
      attempt.m_entry, attempt.m_sentAt, attempt.m_endedAt);
    counts.m_silent += isSilent ? 1 : 0;
    counts.m_silentInStop += isSilent && isInStop ? 1 : 0;
    const bool isWhole = attempt.m_end == AttemptEnd::Served ||
                         attempt.m_end == AttemptEnd::Refused;
    const bool isDue =
      attempt.m_endedAt >= attempt.m_deadline - kDeadlineMarginMs;
    if (isWhole || isDue) {
      continue;
    }
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      attempt.m_endedAt - attempt.m_sentAt);
    std::string text = name + " at " + attempt.m_entry + " " +
                       kEndNames[static_cast<std::size_t>(attempt.m_end)] +
                       " after " + std::to_string(ms.count()) + " ms" +
                       (isSilent ? " beside a silence" : "") +
                       (isInStop ? " in a graceful stop" : "") +
                       (attempt.m_why.empty() ? "" : ": " + attempt.m_why) +
                       "; it had reached";
    for (const std::string& backend : attempt.m_backends) {
      text += " " + backend;
    }
    for (const std::string& helper : attempt.m_helpers) {
      text += ", through " + helper;
      if (aLedger.Stops().Meets(helper, attempt.m_sentAt, attempt.m_endedAt)) {
        text += " in its graceful stop";
      }
    }
    text += attempt.m_story;
    aLedger.Breach(text);
  }
  return counts;
}

} // namespace parsleycove
