// What back ends ran and what callers were told, and whether the two agree.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Soak/SoakHarms.h"
#include "Soak/SoakLimits.h"

namespace parsleycove {

enum class AttemptKind
{
  Safe,
  Unsafe,
  Stream,
};

enum class AttemptEnd
{
  Open,
  Served,
  // With the promise that it has not run.
  Refused,
  // With another error.
  Failed,
  // The connection ended before a complete answer.
  BrokenOff,
  // The caller waited no longer, or could not send it.
  TimedOut,
};

struct SoakAttempt
{
  AttemptKind m_kind{};
  std::string m_key;
  std::string m_entry;
  // Address of the link to the entry VM; empty without one.
  std::string m_link;
  TimePoint m_sentAt{};
  TimePoint m_deadline{};
  TimePoint m_endedAt{};
  AttemptEnd m_end = AttemptEnd::Open;
  std::string m_why;
  // What back ends did with it, for a breach.
  std::string m_story;
  // Addresses of all back ends on its paths.
  std::set<std::string> m_backends;
  // Entry VMs that it was passed on to.
  std::set<std::string> m_helpers;
  int m_runs = 0;
  bool m_isRefused = false;
  // Carries a part that crashes engines, or a back end broke its answer off.
  bool m_isExcused = false;
};

// Breaches are kept as text; the soak fails with the first of them.
class SoakLedger
{
public:
  void NoteSent(const std::string& aAttempt, SoakAttempt aSent);
  // A back end begins to work on it. aPath: addresses of all back ends of its
  // path.
  void NoteRun(const std::string& aAttempt,
               const std::string& aAccount,
               const std::string& aBackend,
               const std::vector<std::string>& aPath,
               TimePoint aNow);
  void NoteStep(const std::string& aAttempt,
                const std::string& aStep,
                TimePoint aNow);
  // Its entry VM passed it on to this one.
  void NoteHelper(const std::string& aAttempt, const std::string& aEntry);
  // Its back end harms it.
  void Excuse(const std::string& aAttempt);
  void NoteEnd(const std::string& aAttempt,
               AttemptEnd aEnd,
               std::string aWhy,
               TimePoint aNow);

  // Only aAccount's requests are allowed with this key; none of those that are
  // sent after aUntil.
  void SetKey(const std::string& aKey, std::string aAccount);
  void RevokeKey(const std::string& aKey, TimePoint aUntil);
  // No request that is sent after aFrom may reach the back end.
  void NoteLeaving(const std::string& aBackend, TimePoint aFrom);

  // A prompt with a part that crashes engines has reached one.
  void NotePartCrash(TimePoint aNow);
  // The request that comes again has crashed a back end.
  void NoteRequestCrash(TimePoint aNow);
  // A request has reached a back end, whether it runs or not.
  void NoteReached(const std::string& aAttempt,
                   const std::string& aBackend,
                   TimePoint aNow);

  // What was harmed, which back ends were only silent, and which entry VMs were
  // under a graceful stop.
  SoakHarms& Harms() { return m_harms; }
  const SoakHarms& Harms() const { return m_harms; }
  SoakHarms& Silences() { return m_silences; }
  const SoakHarms& Silences() const { return m_silences; }
  SoakLimits& Limits() { return m_limits; }
  const SoakLimits& Limits() const { return m_limits; }
  // Which entry VMs had lost links to back ends.
  SoakHarms& LostLinks() { return m_lostLinks; }
  const SoakHarms& LostLinks() const { return m_lostLinks; }
  SoakHarms& Stops() { return m_stops; }
  const SoakHarms& Stops() const { return m_stops; }

  void Breach(std::string aText) { m_breaches.push_back(std::move(aText)); }
  const std::vector<std::string>& Breaches() const { return m_breaches; }
  const std::map<std::string, SoakAttempt>& Attempts() const
  {
    return m_attempts;
  }
  int Served() const { return m_served; }
  int ServedStreams() const { return m_servedStreams; }
  int Crashes() const { return m_crashes; }
  int LateCrashes() const { return m_lateCrashes; }
  int Unserved() const { return m_unserved; }
  int Runs() const { return m_runs; }

private:
  void NoteCrash(TimePoint aNow, int aCrashesToKnow);

  struct Key
  {
    std::string m_account;
    TimePoint m_until = TimePoint::max();
  };

  std::map<std::string, SoakAttempt> m_attempts;
  std::map<std::string, Key> m_keys;
  std::map<std::string, TimePoint> m_leaving;
  std::vector<std::string> m_breaches;
  SoakHarms m_harms;
  SoakHarms m_silences;
  SoakHarms m_stops;
  SoakHarms m_lostLinks;
  SoakLimits m_limits;
  int m_served = 0;
  int m_servedStreams = 0;
  int m_unserved = 0;
  int m_runs = 0;
  int m_crashes = 0;
  // Those after the time by which the gateways know what crashes back ends.
  int m_lateCrashes = 0;
  TimePoint m_knownFrom{};
};

} // namespace parsleycove
