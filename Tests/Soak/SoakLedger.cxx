// What back ends ran and what callers were told, and whether the two agree.
#include "Soak/SoakLedger.h"

#include <utility>

namespace parsleycove {

namespace {

// Bounds of the users' platform for a part of a prompt, and for a whole
// request, that crashes back ends: so long after this many crashes, few
// requests with it reach one.
constexpr std::chrono::seconds kKnownS{ 3 };
constexpr int kPartCrashesToKnow = 5;
constexpr int kRequestCrashesToKnow = 3;
constexpr int kMaxLateCrashes = 3;

} // namespace

void
SoakLedger::NoteSent(const std::string& aAttempt, SoakAttempt aSent)
{
  m_attempts[aAttempt] = std::move(aSent);
}

void
SoakLedger::NoteRun(const std::string& aAttempt,
                    const std::string& aAccount,
                    const std::string& aBackend,
                    const std::vector<std::string>& aPath,
                    TimePoint aNow)
{
  ++m_runs;
  const auto place = m_attempts.find(aAttempt);
  if (place == m_attempts.end()) {
    Breach(aAttempt + " ran, but no caller sent it");
    return;
  }
  SoakAttempt& attempt = place->second;
  ++attempt.m_runs;
  attempt.m_backends.insert(aPath.begin(), aPath.end());
  const bool isOnce = attempt.m_kind == AttemptKind::Unsafe;
  if (isOnce && attempt.m_runs > 1) {
    Breach(aAttempt + " may run once and ran " +
           std::to_string(attempt.m_runs) + " times");
  }
  if (isOnce && attempt.m_isRefused) {
    Breach(aAttempt + " ran after its caller was told that it has not run");
  }
  const Key& key = m_keys[attempt.m_key];
  if (key.m_account != aAccount) {
    Breach(aAttempt + " ran for account '" + aAccount + "', its key is of '" +
           key.m_account + "'");
  }
  if (attempt.m_sentAt > key.m_until) {
    Breach(aAttempt + " ran with a key that was taken away");
  }
  const auto leaving = m_leaving.find(aBackend);
  if (leaving != m_leaving.end() && attempt.m_sentAt > leaving->second &&
      aNow > leaving->second) {
    Breach(aAttempt + " reached " + aBackend + ", which is leaving");
  }
}

void
SoakLedger::NoteStep(const std::string& aAttempt,
                     const std::string& aStep,
                     TimePoint aNow)
{
  SoakAttempt& attempt = m_attempts[aAttempt];
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
    aNow - attempt.m_sentAt);
  attempt.m_story += ", " + std::to_string(ms.count()) + " ms " + aStep;
}

void
SoakLedger::NoteHelper(const std::string& aAttempt, const std::string& aEntry)
{
  if (const auto known = m_attempts.find(aAttempt); known != m_attempts.end()) {
    known->second.m_helpers.insert(aEntry);
  }
}

void
SoakLedger::Excuse(const std::string& aAttempt)
{
  m_attempts[aAttempt].m_isExcused = true;
}

void
SoakLedger::NoteEnd(const std::string& aAttempt,
                    AttemptEnd aEnd,
                    std::string aWhy,
                    TimePoint aNow)
{
  SoakAttempt& attempt = m_attempts[aAttempt];
  attempt.m_end = aEnd;
  attempt.m_why = std::move(aWhy);
  attempt.m_endedAt = aNow;
  if (aEnd == AttemptEnd::Served) {
    ++m_served;
    m_servedStreams += attempt.m_kind == AttemptKind::Stream ? 1 : 0;
    return;
  }
  ++m_unserved;
  attempt.m_isRefused = aEnd == AttemptEnd::Refused;
  if (attempt.m_isRefused && attempt.m_kind == AttemptKind::Unsafe &&
      attempt.m_runs != 0) {
    Breach(aAttempt + " has run, and its caller was told that it has not");
  }
}

void
SoakLedger::NotePartCrash(TimePoint aNow)
{
  NoteCrash(aNow, kPartCrashesToKnow);
}

void
SoakLedger::NoteRequestCrash(TimePoint aNow)
{
  NoteCrash(aNow, kRequestCrashesToKnow);
}

void
SoakLedger::NoteCrash(TimePoint aNow, int aCrashesToKnow)
{
  if (++m_crashes == aCrashesToKnow) {
    m_knownFrom = aNow + kKnownS;
  }
  if (m_crashes <= aCrashesToKnow || aNow <= m_knownFrom) {
    return;
  }
  if (++m_lateCrashes == kMaxLateCrashes + 1) {
    Breach("more than " + std::to_string(kMaxLateCrashes) +
           " requests that crash back ends reached them after their part must "
           "be known");
  }
}

void
SoakLedger::NoteReached(const std::string& aAttempt,
                        const std::string& aBackend,
                        TimePoint aNow)
{
  m_limits.NoteRequest(aBackend, m_attempts[aAttempt].m_entry, aNow);
}

void
SoakLedger::SetKey(const std::string& aKey, std::string aAccount)
{
  m_keys[aKey] = { std::move(aAccount), TimePoint::max() };
}

void
SoakLedger::RevokeKey(const std::string& aKey, TimePoint aUntil)
{
  m_keys[aKey].m_until = aUntil;
}

void
SoakLedger::NoteLeaving(const std::string& aBackend, TimePoint aFrom)
{
  m_leaving[aBackend] = aFrom;
}

} // namespace parsleycove
