// Checks of the commands about prompt parts, apart from the table.
#include "State/PromptPartChecks.h"

namespace parsleycove {

namespace {

Fault
CheckSize(const std::string& aField,
          const std::string& aUnit,
          std::size_t aSize,
          std::size_t aMost)
{
  if (aSize >= 1 && aSize <= aMost) {
    return std::nullopt;
  }
  return aField + " has " + std::to_string(aSize) + " " + aUnit +
         ", expected 1 to " + std::to_string(aMost);
}

Fault
CheckId(const std::string& aField, const std::string& aId)
{
  return CheckSize(aField, "characters", aId.size(), kMaxPromptIdLength);
}

Fault
CheckParts(const std::vector<std::string>& aParts, std::size_t aMost)
{
  if (auto fault = CheckSize("parts", "entries", aParts.size(), aMost)) {
    return fault;
  }
  for (const std::string& part : aParts) {
    if (auto fault = CheckId("part", part)) {
      return fault;
    }
  }
  return std::nullopt;
}

} // namespace

Fault
CheckPromptCrash(const state::ReportPromptCrashT& aCommand)
{
  if (!aCommand.endpoint) {
    return "endpoint: none, expected one";
  }
  if (auto fault = CheckId("endpoint", aCommand.endpoint->id)) {
    return fault;
  }
  if (auto fault = CheckSize(
        "suspects", "entries", aCommand.suspects.size(), kMaxCrashSuspects)) {
    return fault;
  }
  for (const auto& suspect : aCommand.suspects) {
    if (!suspect) {
      return "suspects: an entry is empty";
    }
    if (auto fault = CheckId("attempt", suspect->attempt)) {
      return fault;
    }
    if (auto fault = CheckParts(suspect->parts, kMaxPartsPerSuspect)) {
      return fault;
    }
  }
  return std::nullopt;
}

Fault
CheckClearPromptParts(const state::ClearPromptPartsT& aCommand)
{
  return CheckParts(aCommand.parts, kMaxClearedParts);
}

Fault
CheckTryPromptPart(const state::TryPromptPartT& aCommand)
{
  if (auto fault = CheckId("part", aCommand.part)) {
    return fault;
  }
  return CheckId("attempt", aCommand.attempt);
}

} // namespace parsleycove
