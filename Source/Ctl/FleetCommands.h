// Commands about VMs, replicas and actions.
#pragma once

#include "Ctl/Command.h"

namespace parsleycove {

class StatusCommand final : public Command
{
public:
  std::string_view Name() const override { return "status"; }
  std::string_view Help() const override;
  bool Run(AdminClient& aClient,
           const Invocation& aInvocation,
           const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           CtlReason& aReason) const override;
};

// Asks each server which VM it is and drains the one that was named.
class DrainCommand final : public Command
{
public:
  std::string_view Name() const override { return "drain"; }
  std::vector<std::string_view> Arguments() const override;
  std::string_view Help() const override;
  bool Run(AdminClient& aClient,
           const Invocation& aInvocation,
           const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           CtlReason& aReason) const override;
};

class AddReplicaCommand final : public Command
{
public:
  std::string_view Name() const override { return "replicas add"; }
  std::vector<std::string_view> Arguments() const override;
  std::string_view Help() const override;
  bool Run(AdminClient& aClient,
           const Invocation& aInvocation,
           const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           CtlReason& aReason) const override;
};

class RemoveReplicaCommand final : public Command
{
public:
  std::string_view Name() const override { return "replicas remove"; }
  std::vector<std::string_view> Arguments() const override;
  std::string_view Help() const override;
  bool Run(AdminClient& aClient,
           const Invocation& aInvocation,
           const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           CtlReason& aReason) const override;
};

class ShowActionCommand final : public Command
{
public:
  std::string_view Name() const override { return "actions show"; }
  std::vector<std::string_view> Arguments() const override;
  std::string_view Help() const override;
  bool Run(AdminClient& aClient,
           const Invocation& aInvocation,
           const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           CtlReason& aReason) const override;
};

class ResolveActionCommand final : public Command
{
public:
  std::string_view Name() const override { return "actions resolve"; }
  std::vector<std::string_view> Arguments() const override;
  std::string_view Help() const override;
  std::string Check(const Invocation& aInvocation) const override;
  bool Run(AdminClient& aClient,
           const Invocation& aInvocation,
           const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           CtlReason& aReason) const override;
};

} // namespace parsleycove
