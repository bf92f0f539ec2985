// Builders of commands about prompt parts.
#include "State/PromptCommands.h"

#include <memory>
#include <utility>

#include "State/Commands.h"

namespace parsleycove::test {

state::CommandT
MakePromptCrash(const std::string& aEndpoint,
                std::uint64_t aIncarnation,
                const std::vector<Suspect>& aSuspects,
                std::uint64_t aUnixMs)
{
  state::ReportPromptCrashT report;
  report.endpoint = std::make_unique<state::EndpointRefT>();
  report.endpoint->id = aEndpoint;
  report.endpoint->incarnation = aIncarnation;
  for (const Suspect& suspect : aSuspects) {
    auto entry = std::make_unique<state::CrashSuspectT>();
    entry->attempt = suspect.m_attempt;
    entry->parts = suspect.m_parts;
    report.suspects.push_back(std::move(entry));
  }
  report.unix_ms = aUnixMs;
  return MakeCommand(std::move(report));
}

state::CommandT
MakeClearParts(const std::vector<std::string>& aParts, std::uint64_t aUnixMs)
{
  state::ClearPromptPartsT clear;
  clear.parts = aParts;
  clear.unix_ms = aUnixMs;
  return MakeCommand(std::move(clear));
}

state::CommandT
MakeTryPart(const std::string& aPart,
            const std::string& aAttempt,
            std::uint64_t aUnixMs)
{
  state::TryPromptPartT attempt;
  attempt.part = aPart;
  attempt.attempt = aAttempt;
  attempt.unix_ms = aUnixMs;
  return MakeCommand(std::move(attempt));
}

} // namespace parsleycove::test
