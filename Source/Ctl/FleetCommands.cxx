// Commands about VMs, replicas and actions.
#include "Ctl/FleetCommands.h"

#include <limits>

#include <boost/json/serialize.hpp>

#include "Ctl/CommandLine.h"
#include "Ctl/Table.h"

namespace parsleycove {

namespace {

// Sends one call and prints the body of its answer.
bool
SendAndPrint(AdminClient& aClient,
             const AdminCall& aCall,
             bool aJson,
             std::ostream& aOut,
             CtlReason& aReason)
{
  const Repeat repeat =
    aCall.m_method == HttpMethod::Get ? Repeat::Idempotent : Repeat::Never;
  const auto body = aClient.Send(aCall, repeat, aReason);
  if (!body) {
    return false;
  }
  if (aJson) {
    aOut << boost::json::serialize(*body) << '\n';
  } else {
    PrintFields(*body, aOut);
  }
  return true;
}

std::string
ActionTarget(const std::vector<std::string>& aArguments)
{
  return "/v1/admin/actions/" + aArguments[0] + '/' + aArguments[1];
}

} // namespace

std::string_view
StatusCommand::Help() const
{
  return "Prints the leader, the control replicas and the gateways.";
}

bool
StatusCommand::Run(AdminClient& aClient,
                   const Invocation& aInvocation,
                   const std::vector<std::string>&,
                   std::ostream& aOut,
                   CtlReason& aReason) const
{
  const AdminCall call{ HttpMethod::Get, "/v1/admin/status", "" };
  const auto body = aClient.Send(call, Repeat::Idempotent, aReason);
  if (!body) {
    return false;
  }
  if (aInvocation.m_json) {
    aOut << boost::json::serialize(*body) << '\n';
    return true;
  }
  for (const char* field : { "leader", "term", "commit", "in_force_index" }) {
    aOut << field << ": " << TextOf(*body, field) << '\n';
  }
  PrintTable(ArrayOf(*body, "replicas"),
             { "replica",
               "vm",
               "zone",
               "address",
               "role",
               "voter",
               "reachable",
               "match_index" },
             aOut);
  PrintTable(ArrayOf(*body, "gateways"),
             { "vm", "zone", "applied_index", "lease_left_ms", "stopping" },
             aOut);
  return true;
}

std::vector<std::string_view>
DrainCommand::Arguments() const
{
  return { "VM" };
}

std::string_view
DrainCommand::Help() const
{
  return "Lets a VM take no new work, finish what it has and end. The VM must\n"
         "be among the --server addresses.";
}

bool
DrainCommand::Run(AdminClient& aClient,
                  const Invocation& aInvocation,
                  const std::vector<std::string>& aArguments,
                  std::ostream& aOut,
                  CtlReason& aReason) const
{
  std::string unreached;
  for (const SocketAddress& server : aClient.Servers()) {
    const AdminCall ask{ HttpMethod::Get, "/v1/admin/self", "" };
    const auto self = aClient.SendTo(server, ask, aReason);
    if (!self) {
      if (aReason.m_code == ExitCode::Refused) {
        return false;
      }
      unreached += ' ' + server.ToString();
      continue;
    }
    if (TextOf(*self, "vm") != aArguments.front()) {
      continue;
    }
    const AdminCall drain{ HttpMethod::Post, "/v1/admin/drain", "{}" };
    const auto body = aClient.SendTo(server, drain, aReason);
    if (body && aInvocation.m_json) {
      aOut << boost::json::serialize(*body) << '\n';
    } else if (body) {
      PrintFields(*body, aOut);
    }
    return body.has_value();
  }
  if (unreached.empty()) {
    aReason.Set(ExitCode::NotFound,
                "none of the --server addresses is VM " + aArguments.front());
  } else {
    aReason.Set(ExitCode::Unreachable,
                "VM " + aArguments.front() +
                  " not found; no answer from:" + unreached);
  }
  return false;
}

std::vector<std::string_view>
AddReplicaCommand::Arguments() const
{
  return { "REPLICA", "VM", "ZONE", "IP:PORT" };
}

std::string_view
AddReplicaCommand::Help() const
{
  return "Adds a control replica as a learner that becomes a voter once it "
         "has\n"
         "caught up. REPLICA is a number that no replica ever had.";
}

bool
AddReplicaCommand::Run(AdminClient& aClient,
                       const Invocation& aInvocation,
                       const std::vector<std::string>& aArguments,
                       std::ostream& aOut,
                       CtlReason& aReason) const
{
  const auto replica = ParseNumber(aArguments[0]);
  const auto address = SocketAddress::Parse(aArguments[3]);
  if (!replica || !address) {
    aReason.Set(ExitCode::Usage,
                replica ? "IP:PORT: expected an IP number and a port"
                        : "REPLICA: expected a number");
    return false;
  }
  boost::json::object body;
  body["replica"] = *replica;
  body["vm"] = aArguments[1];
  body["zone"] = aArguments[2];
  body["address"] = address->m_address;
  body["port"] = address->m_port;
  const AdminCall call{ HttpMethod::Post,
                        "/v1/admin/replicas",
                        boost::json::serialize(body) };
  return SendAndPrint(aClient, call, aInvocation.m_json, aOut, aReason);
}

std::vector<std::string_view>
RemoveReplicaCommand::Arguments() const
{
  return { "REPLICA" };
}

std::string_view
RemoveReplicaCommand::Help() const
{
  return "Removes a control replica from the group for good.";
}

bool
RemoveReplicaCommand::Run(AdminClient& aClient,
                          const Invocation& aInvocation,
                          const std::vector<std::string>& aArguments,
                          std::ostream& aOut,
                          CtlReason& aReason) const
{
  if (!ParseNumber(aArguments.front())) {
    aReason.Set(ExitCode::Usage, "REPLICA: expected a number");
    return false;
  }
  const AdminCall call{ HttpMethod::Delete,
                        "/v1/admin/replicas/" + aArguments.front(),
                        "" };
  return SendAndPrint(aClient, call, aInvocation.m_json, aOut, aReason);
}

std::vector<std::string_view>
ShowActionCommand::Arguments() const
{
  return { "ACCOUNT", "KEY" };
}

std::string_view
ShowActionCommand::Help() const
{
  return "Prints what the ledger holds of one action.";
}

bool
ShowActionCommand::Run(AdminClient& aClient,
                       const Invocation& aInvocation,
                       const std::vector<std::string>& aArguments,
                       std::ostream& aOut,
                       CtlReason& aReason) const
{
  const AdminCall call{ HttpMethod::Get, ActionTarget(aArguments), "" };
  return SendAndPrint(aClient, call, aInvocation.m_json, aOut, aReason);
}

std::vector<std::string_view>
ResolveActionCommand::Arguments() const
{
  return { "ACCOUNT", "KEY" };
}

std::string_view
ResolveActionCommand::Help() const
{
  return "Settles an action that is in doubt, after you have looked at the\n"
         "service itself: --ran or --not-run. Not run lets nobody run it "
         "later.";
}

std::string
ResolveActionCommand::Check(const Invocation& aInvocation) const
{
  return aInvocation.m_ran ? "" : "--ran or --not-run is missing";
}

bool
ResolveActionCommand::Run(AdminClient& aClient,
                          const Invocation& aInvocation,
                          const std::vector<std::string>& aArguments,
                          std::ostream& aOut,
                          CtlReason& aReason) const
{
  boost::json::object body;
  body["ran"] = *aInvocation.m_ran;
  body["operator"] = aInvocation.m_operator;
  const AdminCall call{ HttpMethod::Post,
                        ActionTarget(aArguments) + "/resolve",
                        boost::json::serialize(body) };
  return SendAndPrint(aClient, call, aInvocation.m_json, aOut, aReason);
}

} // namespace parsleycove
