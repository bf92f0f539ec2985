// Rules of the table of prompt parts that may crash engines.
#include "State/PromptPartTable.h"

#include <algorithm>
#include <set>
#include <utility>

#include "State/NamedEntities.h"
#include "State/PromptCrashReport.h"
#include "State/PromptPartChecks.h"

namespace parsleycove {

namespace {

void
Refuse(state::CommandResultT& aResult,
       state::ResultCode aCode,
       std::string aText)
{
  aResult.code = aCode;
  aResult.text = std::move(aText);
}

void
Clear(state::PromptPartT& aPart, std::uint64_t aUnixMs)
{
  aPart.crashes.clear();
  aPart.quarantined_unix_ms = 0;
  aPart.trials = 0;
  aPart.trial_unix_ms = 0;
  aPart.cleared_unix_ms = std::max<std::uint64_t>(aUnixMs, 1);
}

bool
IsSound(const state::PromptPartT& aPart)
{
  std::set<std::pair<std::string, std::uint64_t>> endpoints;
  for (const auto& crash : aPart.crashes) {
    if (!crash || !crash->endpoint ||
        !endpoints.emplace(crash->endpoint->id, crash->endpoint->incarnation)
           .second) {
      return false;
    }
  }
  return !IsQuarantined(aPart) || !aPart.crashes.empty();
}

} // namespace

void
ApplyPromptCrash(state::ConfigImageT& aImage,
                 const state::ReportPromptCrashT& aCommand,
                 state::CommandResultT& aResult)
{
  if (auto fault = CheckPromptCrash(aCommand)) {
    Refuse(aResult, state::ResultCode::Invalid, std::move(*fault));
    return;
  }
  PromptCrashReport report(aImage.prompt_parts, aCommand);
  if (!report.Apply()) {
    Refuse(aResult,
           state::ResultCode::Duplicate,
           "the crash adds no evidence to any part");
    return;
  }
  aImage.prompt_parts = report.TakeParts();
}

void
ApplyClearPromptParts(state::ConfigImageT& aImage,
                      const state::ClearPromptPartsT& aCommand,
                      state::CommandResultT& aResult)
{
  if (auto fault = CheckClearPromptParts(aCommand)) {
    Refuse(aResult, state::ResultCode::Invalid, std::move(*fault));
    return;
  }
  bool isListed = false;
  bool isChanged = false;
  for (const std::string& id : aCommand.parts) {
    state::PromptPartT* part = FindEntity(aImage.prompt_parts, id);
    isListed = isListed || part != nullptr;
    if (part != nullptr && !part->crashes.empty()) {
      Clear(*part, aCommand.unix_ms);
      isChanged = true;
    }
  }
  if (!isListed) {
    Refuse(aResult, state::ResultCode::NotFound, "none of the parts is listed");
  } else if (!isChanged) {
    Refuse(
      aResult, state::ResultCode::Duplicate, "none of the parts has crashes");
  }
}

void
ApplyTryPromptPart(state::ConfigImageT& aImage,
                   const state::TryPromptPartT& aCommand,
                   state::CommandResultT& aResult)
{
  if (auto fault = CheckTryPromptPart(aCommand)) {
    Refuse(aResult, state::ResultCode::Invalid, std::move(*fault));
    return;
  }
  const state::PromptPartT* part =
    FindEntity(aImage.prompt_parts, aCommand.part);
  if (part == nullptr || !IsQuarantined(*part)) {
    Refuse(aResult,
           state::ResultCode::NotFound,
           "part '" + aCommand.part + "' is not quarantined");
    return;
  }
  const std::uint64_t due = NextTrialUnixMs(*part);
  if (aCommand.unix_ms < due) {
    Refuse(aResult,
           state::ResultCode::Duplicate,
           "part '" + aCommand.part + "': the next trial is due at " +
             std::to_string(due) + " ms, not at " +
             std::to_string(aCommand.unix_ms) + " ms");
    return;
  }
  // A request with one of the tied parts holds all of them.
  for (const state::PromptPartT* tied : FindTied(aImage, *part)) {
    state::PromptPartT& tried = *FindEntity(aImage.prompt_parts, tied->id);
    ++tried.trials;
    tried.trial_unix_ms = aCommand.unix_ms;
  }
}

bool
IsPromptPartCommand(const state::CommandT& aCommand)
{
  switch (aCommand.body.type) {
    case state::CommandBody::ReportPromptCrash:
    case state::CommandBody::ClearPromptParts:
    case state::CommandBody::TryPromptPart:
      return aCommand.body.value != nullptr;
    default:
      return false;
  }
}

state::CommandResultT
ApplyPromptPartCommand(state::ConfigImageT& aImage,
                       const state::CommandT& aCommand)
{
  state::CommandResultT result;
  const state::CommandBodyUnion& body = aCommand.body;
  if (!IsPromptPartCommand(aCommand)) {
    Refuse(result,
           state::ResultCode::Invalid,
           "command: not about prompt parts, expected one that is");
  } else if (const auto* report = body.AsReportPromptCrash()) {
    ApplyPromptCrash(aImage, *report, result);
  } else if (const auto* clear = body.AsClearPromptParts()) {
    ApplyClearPromptParts(aImage, *clear, result);
  } else {
    ApplyTryPromptPart(aImage, *body.AsTryPromptPart(), result);
  }
  return result;
}

state::ConfigImageT
CopyPromptParts(const state::ConfigImageT& aImage)
{
  state::ConfigImageT copy;
  copy.prompt_parts.reserve(aImage.prompt_parts.size());
  for (const auto& part : aImage.prompt_parts) {
    copy.prompt_parts.push_back(std::make_unique<state::PromptPartT>(*part));
  }
  return copy;
}

bool
WouldChange(const state::ConfigImageT& aImage, const state::CommandT& aCommand)
{
  if (!IsPromptPartCommand(aCommand)) {
    return false;
  }
  state::ConfigImageT copy = CopyPromptParts(aImage);
  return ApplyPromptPartCommand(copy, aCommand).code == state::ResultCode::Ok;
}

bool
IsQuarantined(const state::PromptPartT& aPart)
{
  return aPart.quarantined_unix_ms != 0;
}

std::uint64_t
NextTrialUnixMs(const state::PromptPartT& aPart)
{
  if (!IsQuarantined(aPart)) {
    return 0;
  }
  switch (aPart.trials) {
    case 0:
      return aPart.quarantined_unix_ms + kFirstTrialDelayMs;
    case 1:
      return aPart.trial_unix_ms + kSecondTrialDelayMs;
    default:
      return aPart.trial_unix_ms + kTrialDelayMs;
  }
}

std::vector<const state::PromptPartT*>
FindTied(const state::ConfigImageT& aImage, const state::PromptPartT& aPart)
{
  std::vector<const state::PromptPartT*> tied;
  if (!IsQuarantined(aPart)) {
    return tied;
  }
  for (const auto& part : aImage.prompt_parts) {
    if (IsQuarantined(*part) && HaveSameCrashes(*part, aPart)) {
      tied.push_back(part.get());
    }
  }
  return tied;
}

bool
HasSoundPromptParts(const state::ConfigImageT& aImage)
{
  return std::all_of(aImage.prompt_parts.begin(),
                     aImage.prompt_parts.end(),
                     [](const auto& aPart) { return IsSound(*aPart); });
}

} // namespace parsleycove
