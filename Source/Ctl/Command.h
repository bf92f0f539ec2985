// A command of parsleycovectl.
#pragma once

#include <cstddef>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "Ctl/AdminClient.h"
#include "Ctl/Invocation.h"

namespace parsleycove {

class Command
{
public:
  virtual ~Command() = default;

  // The words that select the command, such as "classes show".
  virtual std::string_view Name() const = 0;
  // Names of the positional arguments, such as "NAME"; all are required.
  virtual std::vector<std::string_view> Arguments() const { return {}; }
  virtual std::string_view Help() const = 0;
  // False for commands that ask no VM.
  virtual bool NeedsServer() const { return true; }
  // Says what flag is missing before anything is sent; empty: nothing.
  virtual std::string Check(const Invocation&) const { return {}; }

  // Runs with checked arguments. False: the reason says why.
  virtual bool Run(AdminClient& aClient,
                   const Invocation& aInvocation,
                   const std::vector<std::string>& aArguments,
                   std::ostream& aOut,
                   CtlReason& aReason) const = 0;
};

} // namespace parsleycove
