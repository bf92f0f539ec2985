// Builders of commands about prompt parts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "StateGenerated.h"

namespace parsleycove::test {

// A request and its parts.
struct Suspect
{
  std::string m_attempt;
  std::vector<std::string> m_parts;
};

state::CommandT
MakePromptCrash(const std::string& aEndpoint,
                std::uint64_t aIncarnation,
                const std::vector<Suspect>& aSuspects,
                std::uint64_t aUnixMs);
state::CommandT
MakeClearParts(const std::vector<std::string>& aParts, std::uint64_t aUnixMs);
state::CommandT
MakeTryPart(const std::string& aPart,
            const std::string& aAttempt,
            std::uint64_t aUnixMs);

} // namespace parsleycove::test
