// Shows the spans of one request from all VMs as a tree.
#include "Ctl/TraceCommand.h"

#include <algorithm>
#include <map>
#include <set>

#include <boost/json/serialize.hpp>

#include "Ctl/CommandLine.h"
#include "Ctl/Table.h"

namespace parsleycove {

namespace {

// The spans of a trace, printed with each below its parent.
class SpanTree
{
public:
  explicit SpanTree(const boost::json::array& aSpans)
  {
    std::set<std::string> known;
    for (const auto& span : aSpans) {
      known.insert(TextOf(span.as_object(), "span_id"));
    }
    for (const auto& span : aSpans) {
      const boost::json::object& fields = span.as_object();
      const std::string parent = TextOf(fields, "parent_id");
      const bool isRoot = parent.empty() || !known.contains(parent);
      m_children[isRoot ? "" : parent].push_back(&fields);
    }
    for (auto& [parent, children] : m_children) {
      std::sort(children.begin(), children.end(), StartsBefore);
    }
  }

  void Print(std::ostream& aOut) { PrintBelow("", 0, aOut); }

private:
  static bool StartsBefore(const boost::json::object* aLeft,
                           const boost::json::object* aRight)
  {
    return ParseNumber(TextOf(*aLeft, "start_unix_us")) <
           ParseNumber(TextOf(*aRight, "start_unix_us"));
  }

  void PrintBelow(const std::string& aParent,
                  std::size_t aDepth,
                  std::ostream& aOut)
  {
    const auto found = m_children.find(aParent);
    if (found == m_children.end()) {
      return;
    }
    for (const boost::json::object* span : found->second) {
      aOut << std::string(2 * aDepth, ' ') << TextOf(*span, "name") << "  "
           << TextOf(*span, "duration_us") << " us  " << TextOf(*span, "vm")
           << "  " << TextOf(*span, "attributes") << '\n';
      const std::string id = TextOf(*span, "span_id");
      if (m_printed.insert(id).second) {
        PrintBelow(id, aDepth + 1, aOut);
      }
    }
  }

  std::map<std::string, std::vector<const boost::json::object*>> m_children;
  std::set<std::string> m_printed; // guards against a loop of parents
};

} // namespace

std::vector<std::string_view>
TraceCommand::Arguments() const
{
  return { "TRACE_ID" };
}

std::string_view
TraceCommand::Help() const
{
  return "Prints the spans of one request as a tree, from all --server\n"
         "addresses together.";
}

bool
TraceCommand::Run(AdminClient& aClient,
                  const Invocation& aInvocation,
                  const std::vector<std::string>& aArguments,
                  std::ostream& aOut,
                  CtlReason& aReason) const
{
  const AdminCall call{ HttpMethod::Get,
                        "/v1/admin/traces/" + aArguments.front(),
                        "" };
  boost::json::array spans;
  bool answered = false;
  for (const SocketAddress& server : aClient.Servers()) {
    const auto body = aClient.SendTo(server, call, aReason);
    if (!body) {
      if (aReason.m_code == ExitCode::Refused) {
        return false;
      }
      answered = answered || aReason.m_code == ExitCode::NotFound;
      continue;
    }
    answered = true;
    for (const auto& span : ArrayOf(*body, "spans")) {
      spans.push_back(span);
    }
  }
  if (!answered) {
    aReason.m_code = ExitCode::Unreachable;
    return false;
  }
  if (spans.empty()) {
    aReason.Set(ExitCode::NotFound, "no spans of " + aArguments.front());
    return false;
  }
  if (aInvocation.m_json) {
    aOut << boost::json::serialize(spans) << '\n';
  } else {
    SpanTree(spans).Print(aOut);
  }
  return true;
}

} // namespace parsleycove
