// Commands that change the configuration.
#pragma once

#include <cstdint>

#include <boost/json/object.hpp>

#include "Ctl/Command.h"

namespace parsleycove {

// Sends one change, and sends it again with the same change id as long as its
// outcome is unknown.
class ChangeCommand : public Command
{
public:
  std::string Check(const Invocation& aInvocation) const override;
  bool Run(AdminClient& aClient,
           const Invocation& aInvocation,
           const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           CtlReason& aReason) const override;

protected:
  // Makes the change, or nothing and why.
  virtual std::optional<boost::json::object> MakeChange(
    const std::vector<std::string>& aArguments,
    CtlReason& aReason) const = 0;
};

class ApplyCommand final : public ChangeCommand
{
public:
  explicit ApplyCommand(std::string_view aName)
    : m_name(aName)
  {
  }

  std::string_view Name() const override { return m_name; }
  std::vector<std::string_view> Arguments() const override;
  std::string_view Help() const override;

protected:
  std::optional<boost::json::object> MakeChange(
    const std::vector<std::string>& aArguments,
    CtlReason& aReason) const override;

private:
  const std::string_view m_name;
};

class SetShutdownDateCommand final : public ChangeCommand
{
public:
  std::string_view Name() const override { return "shutdown-date set"; }
  std::vector<std::string_view> Arguments() const override;
  std::string_view Help() const override;

protected:
  std::optional<boost::json::object> MakeChange(
    const std::vector<std::string>& aArguments,
    CtlReason& aReason) const override;
};

class WaitInForceCommand final : public Command
{
public:
  std::string_view Name() const override { return "wait-in-force"; }
  std::vector<std::string_view> Arguments() const override;
  std::string_view Help() const override;
  bool Run(AdminClient& aClient,
           const Invocation& aInvocation,
           const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           CtlReason& aReason) const override;
};

// Waits until a log index is in force on every live gateway. Not in force
// within the time is an unknown outcome: the change stays accepted.
bool
WaitInForce(AdminClient& aClient,
            std::uint64_t aIndex,
            std::uint64_t aWaitMs,
            CtlReason& aReason);

} // namespace parsleycove
