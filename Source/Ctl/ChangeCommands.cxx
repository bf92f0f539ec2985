// Commands that change the configuration.
#include "Ctl/ChangeCommands.h"

#include <fstream>
#include <iterator>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "Ctl/CommandLine.h"
#include "Ctl/Table.h"

namespace parsleycove {

namespace {

constexpr std::uint64_t kAnswerMarginMs = 5'000;

} // namespace

std::string
ChangeCommand::Check(const Invocation& aInvocation) const
{
  if (!aInvocation.m_baseRevision) {
    return "--base-revision is missing: expected the revision that the change "
           "was made for";
  }
  if (aInvocation.m_changeId.empty()) {
    return "--change-id is missing: expected a name that no other change has";
  }
  return {};
}

bool
ChangeCommand::Run(AdminClient& aClient,
                   const Invocation& aInvocation,
                   const std::vector<std::string>& aArguments,
                   std::ostream& aOut,
                   CtlReason& aReason) const
{
  auto change = MakeChange(aArguments, aReason);
  if (!change) {
    return false;
  }
  boost::json::object request;
  request["change_id"] = aInvocation.m_changeId;
  request["base_revision"] = *aInvocation.m_baseRevision;
  request["operator"] = aInvocation.m_operator;
  request["change"] = std::move(*change);
  const AdminCall call{ HttpMethod::Post,
                        "/v1/admin/changes",
                        boost::json::serialize(request) };
  const auto body = aClient.Send(call, Repeat::Idempotent, aReason);
  if (!body) {
    return false;
  }
  const std::string index = TextOf(*body, "index");
  if (aInvocation.m_json) {
    aOut << boost::json::serialize(*body) << '\n';
  } else {
    aOut << "accepted: revision " << TextOf(*body, "revision") << ", index "
         << index << '\n';
  }
  if (!aInvocation.m_waitInForce) {
    return true;
  }
  if (!WaitInForce(aClient,
                   ParseNumber(index).value_or(0),
                   aInvocation.m_waitMs,
                   aReason)) {
    return false;
  }
  if (!aInvocation.m_json) {
    aOut << "in force\n";
  }
  return true;
}

std::vector<std::string_view>
ApplyCommand::Arguments() const
{
  return { "FILE" };
}

std::string_view
ApplyCommand::Help() const
{
  return "Applies the change in a JSON file, all of it or nothing.\n"
         "Needs --base-revision N and --change-id ID; with --wait-in-force it\n"
         "returns once every live gateway works by it.";
}

std::optional<boost::json::object>
ApplyCommand::MakeChange(const std::vector<std::string>& aArguments,
                         CtlReason& aReason) const
{
  const std::string& path = aArguments.front();
  std::ifstream file(path);
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  if (!file.is_open()) {
    aReason.Set(ExitCode::Usage, "cannot read file " + path);
    return std::nullopt;
  }
  boost::json::error_code error;
  boost::json::value change = boost::json::parse(text, error);
  if (error || !change.is_object()) {
    aReason.Set(ExitCode::Usage,
                path + ": expected one JSON object with keys such as "
                       "put_classes");
    return std::nullopt;
  }
  return std::move(change.as_object());
}

std::vector<std::string_view>
SetShutdownDateCommand::Arguments() const
{
  return { "UNIX_MS" };
}

std::string_view
SetShutdownDateCommand::Help() const
{
  return "Announces when the service closes, in milliseconds since the epoch;\n"
         "0 takes the date back. Needs --base-revision N and --change-id ID.";
}

std::optional<boost::json::object>
SetShutdownDateCommand::MakeChange(const std::vector<std::string>& aArguments,
                                   CtlReason& aReason) const
{
  const auto unixMs = ParseNumber(aArguments.front());
  if (!unixMs) {
    aReason.Set(ExitCode::Usage, "UNIX_MS: expected a number");
    return std::nullopt;
  }
  boost::json::object settings;
  settings["shutdown_unix_ms"] = *unixMs;
  boost::json::object change;
  change["settings"] = std::move(settings);
  return change;
}

std::vector<std::string_view>
WaitInForceCommand::Arguments() const
{
  return { "INDEX" };
}

std::string_view
WaitInForceCommand::Help() const
{
  return "Waits until every live gateway works by the configuration of a log\n"
         "index, at most --wait-ms milliseconds.";
}

bool
WaitInForceCommand::Run(AdminClient& aClient,
                        const Invocation& aInvocation,
                        const std::vector<std::string>& aArguments,
                        std::ostream& aOut,
                        CtlReason& aReason) const
{
  const auto index = ParseNumber(aArguments.front());
  if (!index) {
    aReason.Set(ExitCode::Usage, "INDEX: expected a number");
    return false;
  }
  if (!WaitInForce(aClient, *index, aInvocation.m_waitMs, aReason)) {
    return false;
  }
  aOut << "in force\n";
  return true;
}

bool
WaitInForce(AdminClient& aClient,
            std::uint64_t aIndex,
            std::uint64_t aWaitMs,
            CtlReason& aReason)
{
  const AdminCall call{ HttpMethod::Get,
                        "/v1/admin/in-force?index=" + std::to_string(aIndex) +
                          "&wait_ms=" + std::to_string(aWaitMs),
                        "",
                        std::chrono::milliseconds(aWaitMs + kAnswerMarginMs) };
  const auto body = aClient.Send(call, Repeat::Idempotent, aReason);
  if (!body) {
    return false;
  }
  if (TextOf(*body, "in_force") != "true") {
    aReason.Set(ExitCode::OutcomeUnknown,
                "index " + std::to_string(aIndex) +
                  " is not in force everywhere yet; in force is index " +
                  TextOf(*body, "in_force_index"));
    return false;
  }
  return true;
}

} // namespace parsleycove
