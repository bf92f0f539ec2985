// Commands that read the configuration and the registry.
#pragma once

#include "Ctl/Command.h"

namespace parsleycove {

// Lists one array of GET /v1/admin/config or GET /v1/admin/status.
class ListCommand final : public Command
{
public:
  ListCommand(std::string_view aName,
              std::string_view aTarget,
              std::string_view aField,
              std::vector<std::string_view> aColumns);

  std::string_view Name() const override { return m_name; }
  std::string_view Help() const override;
  bool Run(AdminClient& aClient,
           const Invocation& aInvocation,
           const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           CtlReason& aReason) const override;

private:
  const std::string_view m_name;
  const std::string_view m_target;
  const std::string_view m_field;
  const std::vector<std::string_view> m_columns;
};

class ShowClassCommand final : public Command
{
public:
  std::string_view Name() const override { return "classes show"; }
  std::vector<std::string_view> Arguments() const override;
  std::string_view Help() const override;
  bool Run(AdminClient& aClient,
           const Invocation& aInvocation,
           const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           CtlReason& aReason) const override;
};

class ShowShutdownDateCommand final : public Command
{
public:
  std::string_view Name() const override { return "shutdown-date show"; }
  std::string_view Help() const override;
  bool Run(AdminClient& aClient,
           const Invocation& aInvocation,
           const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           CtlReason& aReason) const override;
};

} // namespace parsleycove
