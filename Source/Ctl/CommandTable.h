// All commands of parsleycovectl.
#pragma once

#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "Ctl/Command.h"

namespace parsleycove {

class CommandTable
{
public:
  CommandTable();

  // Runs the command that the invocation names; messages go to aErrors.
  ExitCode Run(const Invocation& aInvocation,
               Transport& aTransport,
               std::ostream& aOut,
               std::ostream& aErrors) const;

private:
  // Returns null when no command has that name. The rest of the words are left
  // in aArguments.
  const Command* Find(const std::vector<std::string>& aWords,
                      std::vector<std::string>& aArguments) const;
  void PrintUsage(std::ostream& aOut) const;

  std::vector<std::unique_ptr<Command>> m_commands;
};

} // namespace parsleycove
