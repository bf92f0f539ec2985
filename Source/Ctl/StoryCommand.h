// Tells one request's story from the decision logs of several VMs.
#pragma once

#include "Ctl/Command.h"

namespace parsleycove {

// Reads log files, not VMs: the logs may be all that is left. Prints the lines
// of the request in order of time, and with them what the VMs found out about
// its endpoints meanwhile.
class StoryCommand final : public Command
{
public:
  std::string_view Name() const override { return "story"; }
  std::vector<std::string_view> Arguments() const override;
  std::string_view Help() const override;
  bool NeedsServer() const override { return false; }
  bool Run(AdminClient& aClient,
           const Invocation& aInvocation,
           const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           CtlReason& aReason) const override;
};

} // namespace parsleycove
