// All commands of parsleycovectl.
#include "Ctl/CommandTable.h"

#include "Ctl/ChangeCommands.h"
#include "Ctl/ConfigCommands.h"
#include "Ctl/FleetCommands.h"
#include "Ctl/StoryCommand.h"
#include "Ctl/TraceCommand.h"

namespace parsleycove {

namespace {

constexpr const char* kConfig = "/v1/admin/config";
constexpr const char* kStatus = "/v1/admin/status";

// "classes show NAME"
std::string
UsageOf(const Command& aCommand)
{
  std::string usage(aCommand.Name());
  for (const std::string_view argument : aCommand.Arguments()) {
    usage += ' ';
    usage += argument;
  }
  return usage;
}

// What is missing before anything can be sent; empty: nothing.
std::string
FindFault(const Command& aCommand,
          const Invocation& aInvocation,
          const std::vector<std::string>& aArguments)
{
  if (aArguments.size() != aCommand.Arguments().size()) {
    return "expected: parsleycovectl " + UsageOf(aCommand);
  }
  if (std::string fault = aCommand.Check(aInvocation); !fault.empty()) {
    return fault;
  }
  if (!aCommand.NeedsServer()) {
    return {};
  }
  if (aInvocation.m_servers.empty()) {
    return "--server is missing: expected IP:PORT[,IP:PORT...], or "
           "PARSLEYCOVECTL_SERVER in the environment";
  }
  if (aInvocation.m_operatorKey.empty()) {
    return "--operator-key is missing, or PARSLEYCOVECTL_OPERATOR_KEY in the "
           "environment";
  }
  return {};
}

} // namespace

CommandTable::CommandTable()
{
  const auto list = [this](const char* aName,
                           const char* aTarget,
                           const char* aField,
                           std::vector<std::string_view> aColumns) {
    m_commands.push_back(std::make_unique<ListCommand>(
      aName, aTarget, aField, std::move(aColumns)));
  };
  list("classes list",
       kConfig,
       "classes",
       { "name",
         "first_token_ms",
         "token_interval_ms",
         "completion_ms",
         "success_per_mille" });
  m_commands.push_back(std::make_unique<ShowClassCommand>());
  m_commands.push_back(std::make_unique<ApplyCommand>("classes apply"));
  list("accounts list", kConfig, "accounts", { "name", "default_class" });
  list("models list", kConfig, "models", { "name", "version", "layers" });
  list("services list",
       kConfig,
       "services",
       { "name", "idempotent_prefixes", "reports_not_run" });
  list("endpoints list",
       kConfig,
       "endpoints",
       { "id",
         "kind",
         "phase",
         "address",
         "port",
         "zone",
         "model",
         "first_layer",
         "last_layer",
         "service",
         "checks_fencing" });
  list("orders list",
       kConfig,
       "orders",
       { "id",
         "endpoint",
         "kind",
         "model",
         "first_layer",
         "last_layer",
         "term",
         "sequence",
         "done" });
  list("prompt-parts list",
       kConfig,
       "prompt_parts",
       { "id",
         "quarantined_unix_ms",
         "trials",
         "next_trial_unix_ms",
         "cleared_unix_ms" });
  list("endpoint-limits list",
       kConfig,
       "endpoint_limits",
       { "id", "incarnation", "per_1000_s", "gateways" });
  list("gateways list",
       kConfig,
       "gateways",
       { "vm", "zone", "address", "port", "unreached", "unix_ms" });
  m_commands.push_back(std::make_unique<StatusCommand>());
  m_commands.push_back(std::make_unique<DrainCommand>());
  m_commands.push_back(std::make_unique<ShowShutdownDateCommand>());
  m_commands.push_back(std::make_unique<SetShutdownDateCommand>());
  list("replicas list",
       kStatus,
       "replicas",
       { "replica", "vm", "zone", "address", "role", "voter", "reachable" });
  m_commands.push_back(std::make_unique<AddReplicaCommand>());
  m_commands.push_back(std::make_unique<RemoveReplicaCommand>());
  m_commands.push_back(std::make_unique<ShowActionCommand>());
  m_commands.push_back(std::make_unique<ResolveActionCommand>());
  m_commands.push_back(std::make_unique<WaitInForceCommand>());
  m_commands.push_back(std::make_unique<TraceCommand>());
  m_commands.push_back(std::make_unique<StoryCommand>());
  m_commands.push_back(std::make_unique<ApplyCommand>("apply"));
}

const Command*
CommandTable::Find(const std::vector<std::string>& aWords,
                   std::vector<std::string>& aArguments) const
{
  for (const auto& command : m_commands) {
    const std::string_view name = command->Name();
    const std::size_t words = name.find(' ') == std::string_view::npos ? 1 : 2;
    if (aWords.size() < words) {
      continue;
    }
    const std::string given =
      words == 1 ? aWords[0] : aWords[0] + ' ' + aWords[1];
    if (given == name) {
      aArguments.assign(aWords.begin() + static_cast<std::ptrdiff_t>(words),
                        aWords.end());
      return command.get();
    }
  }
  return nullptr;
}

void
CommandTable::PrintUsage(std::ostream& aOut) const
{
  aOut << "usage: parsleycovectl --server IP:PORT[,IP:PORT...] "
          "--operator-key KEY COMMAND\n"
          "flags: --json --operator NAME --base-revision N --change-id ID\n"
          "       --wait-in-force --wait-ms N --ran --not-run --help\n"
          "commands:\n";
  for (const auto& command : m_commands) {
    aOut << "  " << UsageOf(*command) << '\n';
  }
}

ExitCode
CommandTable::Run(const Invocation& aInvocation,
                  Transport& aTransport,
                  std::ostream& aOut,
                  std::ostream& aErrors) const
{
  std::vector<std::string> arguments;
  const Command* command = Find(aInvocation.m_words, arguments);
  if (command == nullptr) {
    PrintUsage(aInvocation.m_help ? aOut : aErrors);
    return aInvocation.m_help ? ExitCode::Ok : ExitCode::Usage;
  }
  if (aInvocation.m_help) {
    aOut << "parsleycovectl " << UsageOf(*command) << '\n'
         << command->Help() << '\n';
    return ExitCode::Ok;
  }
  if (const std::string fault = FindFault(*command, aInvocation, arguments);
      !fault.empty()) {
    aErrors << "parsleycovectl: " << fault << '\n';
    return ExitCode::Usage;
  }
  AdminClient client(aInvocation.m_servers, aTransport);
  CtlReason reason;
  if (command->Run(client, aInvocation, arguments, aOut, reason)) {
    return ExitCode::Ok;
  }
  aErrors << "parsleycovectl: " << reason.m_text << '\n';
  return reason.m_code;
}

} // namespace parsleycove
