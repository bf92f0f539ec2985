// Effect of one report of a crash on the table of prompt parts.
#include "State/PromptCrashReport.h"

#include <set>

#include "Base/RequestIdentity.h"
#include "State/PromptPartTable.h"

namespace parsleycove {

namespace {

// The clock of a leader may be behind its predecessor's, so a time may be in
// the future; evidence from there ends as well.
bool
IsOlder(std::uint64_t aUnixMs, std::uint64_t aSpanMs, std::uint64_t aNowUnixMs)
{
  return std::max(aUnixMs, aNowUnixMs) - std::min(aUnixMs, aNowUnixMs) >
         aSpanMs;
}

bool
IsHeld(const state::PromptPartT& aPart, std::uint64_t aNowUnixMs)
{
  return aPart.cleared_unix_ms != 0 &&
         !IsOlder(aPart.cleared_unix_ms, kClearHoldMs - 1, aNowUnixMs);
}

std::uint64_t
FindLastEvidence(const state::PromptPartT& aPart)
{
  return aPart.crashes.empty() ? aPart.cleared_unix_ms
                               : aPart.crashes.back()->unix_ms;
}

std::size_t
CountAttempts(const state::PromptPartT& aPart)
{
  std::set<std::string_view> attempts;
  for (const auto& crash : aPart.crashes) {
    attempts.insert(crash->attempt);
  }
  return attempts.size();
}

std::size_t
CountAttempt(const state::PromptPartT& aPart, std::string_view aAttempt)
{
  return static_cast<std::size_t>(std::count_if(
    aPart.crashes.begin(), aPart.crashes.end(), [&](const auto& aCrash) {
      return aCrash->attempt == aAttempt;
    }));
}

// True when aRight lists all crashes of aLeft.
bool
IsWithin(const state::PromptPartT& aLeft, const state::PromptPartT& aRight)
{
  return std::all_of(
    aLeft.crashes.begin(), aLeft.crashes.end(), [&](const auto& aCrash) {
      return HasCrashOf(aRight, *aCrash->endpoint);
    });
}

// A crash of a request is a crash of every part that it holds, so a request
// accounts for the crashes of other requests only.
bool
MayExplain(const std::string& aExplaining, const std::string& aPart)
{
  return !IsWholeRequest(aExplaining) || IsWholeRequest(aPart);
}

bool
HasEvidence(const state::PromptPartT& aPart)
{
  const std::size_t attempts = IsWholeRequest(aPart.id)
                                 ? kAttemptsToQuarantineRequest
                                 : kCrashesToQuarantine;
  return aPart.crashes.size() >= kCrashesToQuarantine &&
         CountAttempts(aPart) >= attempts;
}

} // namespace

bool
HasCrashOf(const state::PromptPartT& aPart,
           const state::EndpointRefT& aEndpoint)
{
  return std::any_of(
    aPart.crashes.begin(), aPart.crashes.end(), [&](const auto& aCrash) {
      return aCrash->endpoint->id == aEndpoint.id &&
             aCrash->endpoint->incarnation == aEndpoint.incarnation;
    });
}

bool
HaveSameCrashes(const state::PromptPartT& aLeft,
                const state::PromptPartT& aRight)
{
  // The endpoints of one list are distinct.
  return aLeft.crashes.size() == aRight.crashes.size() &&
         IsWithin(aLeft, aRight);
}

PromptCrashReport::PromptCrashReport(const PartList& aParts,
                                     const state::ReportPromptCrashT& aReport)
  : m_report(aReport)
{
  std::set<std::string_view> seen;
  for (const auto& suspect : aReport.suspects) {
    for (const std::string& part : suspect->parts) {
      if (seen.insert(part).second) {
        m_suspectParts.push_back(part);
      }
    }
  }
  m_parts.reserve(aParts.size());
  for (const auto& part : aParts) {
    m_parts.push_back(std::make_unique<state::PromptPartT>(*part));
  }
}

bool
PromptCrashReport::Apply()
{
  DropOldEvidence();
  const bool hasGained = AddToQuarantined();
  const bool isAdded = AddToSuspects();
  if (isAdded) {
    Quarantine();
  }
  return hasGained || isAdded;
}

void
PromptCrashReport::DropOldEvidence()
{
  for (const auto& part : m_parts) {
    // The crashes of a quarantined part tell which parts are tied to it.
    if (!IsQuarantined(*part)) {
      std::erase_if(part->crashes, [this](const auto& aCrash) {
        return IsOlder(aCrash->unix_ms, kCrashEvidenceMs, m_report.unix_ms);
      });
    }
  }
  RemoveEmpty();
}

void
PromptCrashReport::RemoveEmpty()
{
  std::erase_if(m_parts, [this](const auto& aPart) {
    return aPart->crashes.empty() && !IsHeld(*aPart, m_report.unix_ms);
  });
}

bool
PromptCrashReport::IsSuspect(const std::string& aPart) const
{
  return std::find(m_suspectParts.begin(), m_suspectParts.end(), aPart) !=
         m_suspectParts.end();
}

bool
PromptCrashReport::IsExplained(const std::string& aPart) const
{
  return std::any_of(m_parts.begin(), m_parts.end(), [&](const auto& aOther) {
    return IsQuarantined(*aOther) && MayExplain(aOther->id, aPart) &&
           (HasCrashOf(*aOther, *m_report.endpoint) || IsSuspect(aOther->id));
  });
}

bool
PromptCrashReport::AddToQuarantined()
{
  std::vector<state::PromptPartT*> gaining;
  for (const auto& part : m_parts) {
    if (IsQuarantined(*part) && IsSuspect(part->id) && CanAdd(*part)) {
      gaining.push_back(part.get());
    }
  }
  if (gaining.empty()) {
    return false;
  }
  ReleaseTied(gaining);
  for (state::PromptPartT* part : gaining) {
    AddCrash(*part);
  }
  RemoveExplained();
  return true;
}

void
PromptCrashReport::ReleaseTied(const std::vector<state::PromptPartT*>& aGaining)
{
  for (const auto& part : m_parts) {
    const bool isReleased =
      IsQuarantined(*part) && !IsSuspect(part->id) &&
      std::any_of(aGaining.begin(), aGaining.end(), [&](const auto* aOther) {
        return HaveSameCrashes(*part, *aOther);
      });
    if (isReleased) {
      part->crashes.clear();
      part->quarantined_unix_ms = 0;
      part->trials = 0;
      part->trial_unix_ms = 0;
    }
  }
}

bool
PromptCrashReport::AddToSuspects()
{
  bool added = false;
  for (const std::string& id : m_suspectParts) {
    if (IsExplained(id)) {
      continue;
    }
    state::PromptPartT* part = FindEntity(m_parts, id);
    if (part == nullptr) {
      added = AddNewPart(id) || added;
    } else if (CanAdd(*part)) {
      AddCrash(*part);
      added = true;
    }
  }
  return added;
}

bool
PromptCrashReport::AddNewPart(const std::string& aPart)
{
  const bool isWhole = IsWholeRequest(aPart);
  const auto count = static_cast<std::size_t>(
    std::count_if(m_parts.begin(), m_parts.end(), [&](const auto& aOther) {
      return IsWholeRequest(aOther->id) == isWhole;
    }));
  if (count >= kMaxPromptParts && !EvictPart(isWhole)) {
    return false;
  }
  state::PromptPartT part;
  part.id = aPart;
  AddCrash(part);
  PutEntity(m_parts, part);
  return true;
}

bool
PromptCrashReport::CanAdd(const state::PromptPartT& aPart) const
{
  if (HasCrashOf(aPart, *m_report.endpoint) ||
      IsHeld(aPart, m_report.unix_ms)) {
    return false;
  }
  return aPart.crashes.size() < kMaxCrashesPerPart ||
         FindReplaceable(aPart) != aPart.crashes.end();
}

void
PromptCrashReport::AddCrash(state::PromptPartT& aPart) const
{
  auto crash = std::make_unique<state::PromptCrashT>();
  crash->endpoint = std::make_unique<state::EndpointRefT>(*m_report.endpoint);
  crash->attempt = ChooseAttempt(aPart);
  crash->unix_ms = m_report.unix_ms;
  if (aPart.crashes.size() >= kMaxCrashesPerPart) {
    aPart.crashes.erase(FindReplaceable(aPart));
  }
  aPart.crashes.push_back(std::move(crash));
}

std::vector<std::unique_ptr<state::PromptCrashT>>::const_iterator
PromptCrashReport::FindReplaceable(const state::PromptPartT& aPart) const
{
  // Recent crashes of a quarantined part stay: gateways still report them, and
  // each report of a crash that is no longer listed would be a log entry.
  if (IsQuarantined(aPart)) {
    return IsOlder(
             aPart.crashes.front()->unix_ms, kCrashEvidenceMs, m_report.unix_ms)
             ? aPart.crashes.begin()
             : aPart.crashes.end();
  }
  if (CountAttempt(aPart, ChooseAttempt(aPart)) != 0) {
    return aPart.crashes.end();
  }
  return std::find_if(
    aPart.crashes.begin(), aPart.crashes.end(), [&](const auto& aCrash) {
      return CountAttempt(aPart, aCrash->attempt) > 1;
    });
}

const std::string&
PromptCrashReport::ChooseAttempt(const state::PromptPartT& aPart) const
{
  const std::string* listed = nullptr;
  for (const auto& suspect : m_report.suspects) {
    const auto& parts = suspect->parts;
    if (std::find(parts.begin(), parts.end(), aPart.id) == parts.end()) {
      continue;
    }
    if (CountAttempt(aPart, suspect->attempt) == 0) {
      return suspect->attempt;
    }
    listed = &suspect->attempt;
  }
  return *listed;
}

bool
PromptCrashReport::EvictPart(bool aIsWholeRequest)
{
  const auto isEvictable = [&](const state::PromptPartT& aPart) {
    if (IsWholeRequest(aPart.id) != aIsWholeRequest) {
      return false;
    }
    return IsQuarantined(aPart)
             ? IsOlder(
                 FindLastEvidence(aPart), kCrashEvidenceMs, m_report.unix_ms)
             : !IsSuspect(aPart.id) && !HasCrashOf(aPart, *m_report.endpoint);
  };
  const auto rank = [](const state::PromptPartT& aPart) {
    return std::pair(IsQuarantined(aPart), FindLastEvidence(aPart));
  };
  auto first = m_parts.end();
  for (auto part = m_parts.begin(); part != m_parts.end(); ++part) {
    if (isEvictable(**part) &&
        (first == m_parts.end() || rank(**part) < rank(**first))) {
      first = part;
    }
  }
  if (first == m_parts.end()) {
    return false;
  }
  m_parts.erase(first);
  return true;
}

void
PromptCrashReport::Quarantine()
{
  std::vector<state::PromptPartT*> found;
  for (const auto& part : m_parts) {
    if (!IsQuarantined(*part) && HasEvidence(*part)) {
      found.push_back(part.get());
    }
  }
  for (state::PromptPartT* part : found) {
    // A part with these crashes and further ones accounts for all of them.
    const bool isExplained =
      std::any_of(m_parts.begin(), m_parts.end(), [&](const auto& aOther) {
        const bool isBlamed = IsQuarantined(*aOther) || HasEvidence(*aOther);
        return isBlamed && aOther->crashes.size() > part->crashes.size() &&
               IsWithin(*part, *aOther);
      });
    if (!isExplained) {
      part->quarantined_unix_ms = std::max<std::uint64_t>(m_report.unix_ms, 1);
      part->trials = 0;
      part->trial_unix_ms = 0;
    }
  }
  if (!found.empty()) {
    RemoveExplained();
  }
}

void
PromptCrashReport::RemoveExplained()
{
  for (const auto& part : m_parts) {
    if (IsQuarantined(*part)) {
      continue;
    }
    std::erase_if(part->crashes, [&](const auto& aCrash) {
      return std::any_of(
        m_parts.begin(), m_parts.end(), [&](const auto& aOther) {
          return IsQuarantined(*aOther) && MayExplain(aOther->id, part->id) &&
                 HasCrashOf(*aOther, *aCrash->endpoint);
        });
    });
  }
  RemoveEmpty();
}

} // namespace parsleycove
