// Shows the spans of one request from all VMs as a tree.
#pragma once

#include "Ctl/Command.h"

namespace parsleycove {

// Each VM keeps only its own spans, so every server is asked.
class TraceCommand final : public Command
{
public:
  std::string_view Name() const override { return "trace"; }
  std::vector<std::string_view> Arguments() const override;
  std::string_view Help() const override;
  bool Run(AdminClient& aClient,
           const Invocation& aInvocation,
           const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           CtlReason& aReason) const override;
};

} // namespace parsleycove
