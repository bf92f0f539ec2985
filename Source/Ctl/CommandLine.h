// Parses the command line of parsleycovectl.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Ctl/AdminClient.h"
#include "Ctl/Invocation.h"

namespace parsleycove {

// What the environment says where flags are absent.
struct CtlEnvironment
{
  std::string m_servers;     // PARSLEYCOVECTL_SERVER
  std::string m_operatorKey; // PARSLEYCOVECTL_OPERATOR_KEY
  std::string m_user;        // USER
};

// Flags may stand anywhere; the words without the flags are the command.
std::optional<Invocation>
ParseCommandLine(const std::vector<std::string>& aArguments,
                 const CtlEnvironment& aEnvironment,
                 CtlReason& aReason);

// Returns nothing when the text is not a whole decimal number.
std::optional<std::uint64_t>
ParseNumber(const std::string& aText);

} // namespace parsleycove
