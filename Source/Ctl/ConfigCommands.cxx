// Commands that read the configuration and the registry.
#include "Ctl/ConfigCommands.h"

#include <utility>

#include <boost/json/serialize.hpp>

#include "Ctl/Table.h"

namespace parsleycove {

namespace {

constexpr const char* kConfigTarget = "/v1/admin/config";

} // namespace

ListCommand::ListCommand(std::string_view aName,
                         std::string_view aTarget,
                         std::string_view aField,
                         std::vector<std::string_view> aColumns)
  : m_name(aName)
  , m_target(aTarget)
  , m_field(aField)
  , m_columns(std::move(aColumns))
{
}

std::string_view
ListCommand::Help() const
{
  return "Prints a table, or with --json all fields.";
}

bool
ListCommand::Run(AdminClient& aClient,
                 const Invocation& aInvocation,
                 const std::vector<std::string>&,
                 std::ostream& aOut,
                 CtlReason& aReason) const
{
  const AdminCall call{ HttpMethod::Get, std::string(m_target), "" };
  const auto body = aClient.Send(call, Repeat::Idempotent, aReason);
  if (!body) {
    return false;
  }
  const boost::json::array rows = ArrayOf(*body, m_field);
  if (aInvocation.m_json) {
    aOut << boost::json::serialize(rows) << '\n';
  } else {
    PrintTable(rows, m_columns, aOut);
  }
  return true;
}

std::vector<std::string_view>
ShowClassCommand::Arguments() const
{
  return { "NAME" };
}

std::string_view
ShowClassCommand::Help() const
{
  return "Prints the targets of one class of work.";
}

bool
ShowClassCommand::Run(AdminClient& aClient,
                      const Invocation& aInvocation,
                      const std::vector<std::string>& aArguments,
                      std::ostream& aOut,
                      CtlReason& aReason) const
{
  const AdminCall call{ HttpMethod::Get, kConfigTarget, "" };
  const auto body = aClient.Send(call, Repeat::Idempotent, aReason);
  if (!body) {
    return false;
  }
  for (const auto& row : ArrayOf(*body, "classes")) {
    if (TextOf(row.as_object(), "name") != aArguments.front()) {
      continue;
    }
    if (aInvocation.m_json) {
      aOut << boost::json::serialize(row) << '\n';
    } else {
      PrintFields(row.as_object(), aOut);
      aOut << "revision: " << TextOf(*body, "revision") << '\n';
    }
    return true;
  }
  aReason.Set(ExitCode::NotFound, "no class named " + aArguments.front());
  return false;
}

std::string_view
ShowShutdownDateCommand::Help() const
{
  return "Prints the announced shutdown date; 0 stands for none.";
}

bool
ShowShutdownDateCommand::Run(AdminClient& aClient,
                             const Invocation&,
                             const std::vector<std::string>&,
                             std::ostream& aOut,
                             CtlReason& aReason) const
{
  const AdminCall call{ HttpMethod::Get, kConfigTarget, "" };
  const auto body = aClient.Send(call, Repeat::Idempotent, aReason);
  if (!body) {
    return false;
  }
  const auto* settings = body->if_contains("settings");
  if (settings == nullptr || !settings->is_object()) {
    aOut << "shutdown_unix_ms: 0\n";
    return true;
  }
  PrintFields(settings->as_object(), aOut);
  return true;
}

} // namespace parsleycove
