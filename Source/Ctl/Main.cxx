// parsleycovectl: the operators' command line.
#include <cstdlib>
#include <iostream>

#include "Ctl/CommandLine.h"
#include "Ctl/CommandTable.h"
#include "Ctl/HttpTransport.h"

namespace {

std::string
ReadVariable(const char* aName)
{
  const char* value = std::getenv(aName);
  return value != nullptr ? value : "";
}

} // namespace

int
main(int argc, char** argv)
{
  const parsleycove::CtlEnvironment environment{
    ReadVariable("PARSLEYCOVECTL_SERVER"),
    ReadVariable("PARSLEYCOVECTL_OPERATOR_KEY"),
    ReadVariable("USER")
  };
  parsleycove::CtlReason reason;
  const auto invocation = parsleycove::ParseCommandLine(
    { argv + 1, argv + argc }, environment, reason);
  if (!invocation) {
    std::cerr << "parsleycovectl: " << reason.m_text << '\n';
    return static_cast<int>(reason.m_code);
  }
  parsleycove::HttpTransport transport(invocation->m_operatorKey);
  const parsleycove::CommandTable commands;
  const parsleycove::ExitCode code =
    commands.Run(*invocation, transport, std::cout, std::cerr);
  return static_cast<int>(code);
}
