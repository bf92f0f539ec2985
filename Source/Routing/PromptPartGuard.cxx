// Finds the parts of prompts that crash engines, and keeps requests with such
// a part away from the engines.
#include "Routing/PromptPartGuard.h"

#include <algorithm>
#include <utility>

#include "Base/RequestIdentity.h"
#include "State/NamedEntities.h"
#include "State/PromptPartChecks.h"
#include "State/PromptPartTable.h"

namespace parsleycove {

namespace {

bool
Holds(PromptPartGuard::Parts aParts, std::string_view aPart)
{
  return std::find(aParts.begin(), aParts.end(), aPart) != aParts.end();
}

Duration
UntilTrial(const state::PromptPartT& aPart, std::uint64_t aUnixMs)
{
  const std::uint64_t next = NextTrialUnixMs(aPart);
  return std::chrono::milliseconds(next > aUnixMs ? next - aUnixMs : 0);
}

} // namespace

PromptPartGuard::PromptPartGuard(std::uint64_t aSeed)
  : m_random(aSeed)
{
}

void
PromptPartGuard::RecordBegun(TimePoint aNow, Parts aParts)
{
  for (const std::string_view part : aParts) {
    if (!IsWholeRequest(part)) {
      m_lastProofAt = aNow;
    }
    const auto [entry, isNew] =
      m_proved.insert_or_assign(std::string(part), aNow);
    if (isNew) {
      m_order.push_back(entry->first);
    }
  }
  while (m_order.size() > kMaxProved) {
    m_proved.erase(m_order.front());
    m_order.pop_front();
  }
}

bool
PromptPartGuard::IsProved(TimePoint aNow, std::string_view aPart) const
{
  const auto entry = m_proved.find(std::string(aPart));
  return entry != m_proved.end() && aNow - entry->second <= kProvedFor;
}

bool
PromptPartGuard::HasAnyProof(TimePoint aNow) const
{
  return m_lastProofAt && aNow - *m_lastProofAt <= kProvedFor;
}

bool
PromptPartGuard::AreProved(TimePoint aNow, Parts aParts) const
{
  return std::all_of(aParts.begin(), aParts.end(), [&](std::string_view aPart) {
    return IsProved(aNow, aPart);
  });
}

void
PromptPartGuard::Forget(TimePoint aNow)
{
  while (!m_unanswered.empty() &&
         (aNow - m_unanswered.front().m_at > kMatchWindow ||
          m_unanswered.size() > kMaxUnanswered)) {
    m_unanswered.pop_front();
  }
  // Attempts may still end that the engine had not begun to answer.
  std::erase_if(m_crashes, [&](const Crash& aCrash) {
    return aNow - aCrash.m_at >
           (aCrash.m_attempts.empty() ? kMatchWindow : kDeferredFor);
  });
}

PromptPartGuard::Crash*
PromptPartGuard::FindCrash(const EngineStart& aEngine)
{
  const auto crash =
    std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash& aCrash) {
      return aCrash.m_engine == aEngine;
    });
  return crash == m_crashes.end() ? nullptr : &*crash;
}

void
PromptPartGuard::RecordUnanswered(TimePoint aNow, UnansweredAttempt aAttempt)
{
  Forget(aNow);
  for (const EngineStart& engine : aAttempt.m_engines) {
    if (Crash* crash = FindCrash(engine);
        crash != nullptr && aNow - crash->m_at <= kMatchWindow) {
      AddSuspect(*crash, aAttempt);
    }
  }
  m_unanswered.push_back({ aNow, std::move(aAttempt) });
}

void
PromptPartGuard::RecordLostEngine(TimePoint aNow, EngineStart aEngine)
{
  Forget(aNow);
  Crash* crash = FindCrash(aEngine);
  if (crash != nullptr && aNow - crash->m_at <= kMatchWindow) {
    return;
  }
  if (crash == nullptr) {
    MakeRoom();
    crash = &m_crashes.emplace_back();
    crash->m_engine = std::move(aEngine);
  }
  crash->m_at = aNow;
  for (const Unanswered& entry : m_unanswered) {
    const auto& engines = entry.m_attempt.m_engines;
    if (std::find(engines.begin(), engines.end(), crash->m_engine) !=
        engines.end()) {
      AddSuspect(*crash, entry.m_attempt);
    }
  }
}

void
PromptPartGuard::MakeRoom()
{
  if (m_crashes.size() < kMaxCrashes) {
    return;
  }
  // A gateway that loses its links loses all engines at once.
  const auto unused =
    std::find_if(m_crashes.begin(), m_crashes.end(), [](const Crash& aCrash) {
      return aCrash.m_attempts.empty();
    });
  m_crashes.erase(unused == m_crashes.end() ? m_crashes.begin() : unused);
}

void
PromptPartGuard::ConfirmLostEngine(const EngineStart& aEngine)
{
  if (Crash* crash = FindCrash(aEngine)) {
    crash->m_isConfirmed = true;
  }
}

void
PromptPartGuard::ConfirmRestarted(const state::ConfigImageT& aImage)
{
  for (Crash& crash : m_crashes) {
    if (crash.m_isConfirmed) {
      continue;
    }
    const auto* listed = FindEntity(aImage.endpoints, crash.m_engine.m_id);
    crash.m_isConfirmed =
      listed != nullptr && listed->incarnation > crash.m_engine.m_incarnation;
  }
}

void
PromptPartGuard::AddSuspect(Crash& aCrash, const UnansweredAttempt& aAttempt)
{
  const bool isKnown =
    std::any_of(aCrash.m_attempts.begin(),
                aCrash.m_attempts.end(),
                [&](const auto& aKnown) {
                  return aKnown.m_attemptId == aAttempt.m_attemptId;
                });
  if (!isKnown && aCrash.m_attempts.size() < kMaxCrashSuspects) {
    aCrash.m_attempts.push_back({ aAttempt.m_attemptId, aAttempt.m_parts, {} });
  }
}

state::ReportPromptCrashT
PromptPartGuard::TakeReport(TimePoint aNow, Crash& aCrash) const
{
  state::ReportPromptCrashT report;
  const bool hasAnyProof = HasAnyProof(aNow);
  for (UnansweredAttempt& attempt : aCrash.m_attempts) {
    auto suspect = std::make_unique<state::CrashSuspectT>();
    suspect->attempt = attempt.m_attemptId;
    std::erase_if(attempt.m_parts, [&](const std::string& aPart) {
      if (!hasAnyProof && !IsWholeRequest(aPart)) {
        return false;
      }
      if (!IsProved(aNow, aPart) && aPart.size() <= kMaxPromptIdLength &&
          suspect->parts.size() < kMaxPartsPerSuspect) {
        suspect->parts.push_back(aPart);
      }
      return true;
    });
    if (!suspect->parts.empty()) {
      report.suspects.push_back(std::move(suspect));
    }
  }
  std::erase_if(aCrash.m_attempts, [](const UnansweredAttempt& aAttempt) {
    return aAttempt.m_parts.empty();
  });
  report.endpoint = std::make_unique<state::EndpointRefT>();
  report.endpoint->id = aCrash.m_engine.m_id;
  report.endpoint->incarnation = aCrash.m_engine.m_incarnation;
  return report;
}

std::vector<state::ReportPromptCrashT>
PromptPartGuard::TakeReports(TimePoint aNow)
{
  Forget(aNow);
  std::vector<state::ReportPromptCrashT> reports;
  for (Crash& crash : m_crashes) {
    if (!crash.m_isConfirmed) {
      continue;
    }
    if (auto report = TakeReport(aNow, crash); !report.suspects.empty()) {
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

std::vector<std::string>
PromptPartGuard::TakeClears(TimePoint aNow, const state::ConfigImageT& aImage)
{
  std::vector<std::string> clears;
  std::map<std::string, TimePoint, std::less<>> pending;
  for (const auto& part : aImage.prompt_parts) {
    if (part->crashes.empty() || !IsProved(aNow, part->id)) {
      continue;
    }
    const auto known = m_clearAt.find(part->id);
    const TimePoint at = known != m_clearAt.end()
                           ? known->second
                           : aNow + std::chrono::duration_cast<Duration>(
                                      kMaxClearDelay * m_random.Fraction());
    if (aNow >= at) {
      clears.push_back(part->id);
    }
    // A clear that is lost is sent again.
    pending.emplace(part->id, aNow >= at ? aNow + kMatchWindow : at);
  }
  m_clearAt = std::move(pending);
  return clears;
}

PartDecision
PromptPartGuard::Decide(const state::ConfigImageT& aImage,
                        Parts aParts,
                        std::uint64_t aUnixMs)
{
  PartDecision decision;
  for (const auto& part : aImage.prompt_parts) {
    if (!IsQuarantined(*part) || !Holds(aParts, part->id)) {
      continue;
    }
    // Parts with the same crashes were always in the same requests. A request
    // with only some of them shows which of them is sound.
    const auto tied = FindTied(aImage, *part);
    const bool holdsAll =
      std::all_of(tied.begin(), tied.end(), [&](const auto* aTied) {
        return Holds(aParts, aTied->id);
      });
    if (!holdsAll) {
      continue;
    }
    const Duration left = UntilTrial(*part, aUnixMs);
    const bool mayTry = left == Duration::zero();
    if (decision.m_verdict != PartVerdict::Serve && mayTry) {
      continue; // the other part still forbids the request
    }
    decision.m_verdict = mayTry ? PartVerdict::Try : PartVerdict::Refuse;
    decision.m_part = part->id;
    decision.m_untilTrial = std::max(decision.m_untilTrial, left);
  }
  return decision;
}

} // namespace parsleycove
