// Effect of one report of a crash on the table of prompt parts.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "State/NamedEntities.h"
#include "StateGenerated.h"

namespace parsleycove {

// True when the part lists a crash of this endpoint incarnation.
bool
HasCrashOf(const state::PromptPartT& aPart,
           const state::EndpointRefT& aEndpoint);
// True when both list crashes of the same endpoint incarnations.
bool
HaveSameCrashes(const state::PromptPartT& aLeft,
                const state::PromptPartT& aRight);

// Works on a copy of the table, so that a report without effect leaves no
// trace, not even of evidence that is too old.
class PromptCrashReport
{
public:
  using PartList = EntityList<state::PromptPartT>;

  // aReport has passed CheckPromptCrash() and outlives this object.
  PromptCrashReport(const PartList& aParts,
                    const state::ReportPromptCrashT& aReport);

  // Returns whether any part got the crash. Called once.
  bool Apply();
  PartList TakeParts() { return std::move(m_parts); }

private:
  // Drops evidence and holds that are too old.
  void DropOldEvidence();
  // Whether a quarantined part accounts for the crash in place of aPart.
  bool IsExplained(const std::string& aPart) const;
  bool IsSuspect(const std::string& aPart) const;
  // Adds the crash to the quarantined parts among the suspects, and releases
  // the parts that were tied to one of them but were not there.
  bool AddToQuarantined();
  void ReleaseTied(const std::vector<state::PromptPartT*>& aGaining);
  // Adds the crash to all other suspects that can get it and for which no
  // quarantined part accounts.
  bool AddToSuspects();
  bool AddNewPart(const std::string& aPart);
  void AddCrash(state::PromptPartT& aPart) const;
  // False when the part lists the crash, is held by a clear or is full.
  bool CanAdd(const state::PromptPartT& aPart) const;
  // The crash that gives way to this one, or the end when none does.
  std::vector<std::unique_ptr<state::PromptCrashT>>::const_iterator
  FindReplaceable(const state::PromptPartT& aPart) const;
  // A request with the part, if possible one that the part does not list.
  const std::string& ChooseAttempt(const state::PromptPartT& aPart) const;
  // Removes the part of this kind to be forgotten first. False when there is
  // none.
  bool EvictPart(bool aIsWholeRequest);
  void Quarantine();
  // Removes crashes that a quarantined part accounts for from all others.
  void RemoveExplained();
  void RemoveEmpty();

  const state::ReportPromptCrashT& m_report;
  // The distinct parts of all suspects, in order of the report.
  std::vector<std::string> m_suspectParts;
  PartList m_parts; // sorted by id
};

} // namespace parsleycove
