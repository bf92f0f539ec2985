// Tells one request's story from the decision logs of several VMs.
#include "Ctl/StoryCommand.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include <boost/json.hpp>

#include "Ctl/Table.h"

namespace parsleycove {

namespace {

namespace json = boost::json;

// What VMs found out about an endpoint this long before belongs to the story.
constexpr std::int64_t kBeforeMs = 3000;

struct StoryLine
{
  std::int64_t m_unixMs = 0;
  json::object m_fields;
};

// Lines of other logs in the same file are passed over.
void
ReadLines(std::istream& aFile, std::vector<StoryLine>& aLines)
{
  for (std::string text; std::getline(aFile, text);) {
    const auto begin = text.find('{');
    if (begin == std::string::npos) {
      continue;
    }
    boost::system::error_code error;
    json::value line = json::parse(std::string_view(text).substr(begin), error);
    const json::value* time = !error && line.is_object()
                                ? line.get_object().if_contains("unix_ms")
                                : nullptr;
    if (time != nullptr && time->is_int64()) {
      aLines.push_back({ time->get_int64(), std::move(line.get_object()) });
    }
  }
}

std::vector<StoryLine>
PickStory(const std::vector<StoryLine>& aLines, const std::string& aId)
{
  std::vector<StoryLine> story;
  std::set<std::string> endpoints;
  for (const StoryLine& line : aLines) {
    if (TextOf(line.m_fields, "id") == aId) {
      story.push_back(line);
      for (const char* name : { "endpoint", "from", "last_endpoint" }) {
        endpoints.insert(TextOf(line.m_fields, name));
      }
    }
  }
  if (story.empty()) {
    return story;
  }
  endpoints.erase("");
  const std::int64_t first = story.front().m_unixMs - kBeforeMs;
  const std::int64_t last = story.back().m_unixMs;
  for (const StoryLine& line : aLines) {
    const bool isNear = line.m_unixMs >= first && line.m_unixMs <= last;
    const std::string about = TextOf(line.m_fields, "endpoint");
    if (isNear && TextOf(line.m_fields, "id") != aId &&
        TextOf(line.m_fields, "event").starts_with("endpoint_") &&
        endpoints.count(about) != 0) {
      story.push_back(line);
    }
  }
  std::stable_sort(
    story.begin(), story.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.m_unixMs < aRight.m_unixMs;
    });
  return story;
}

void
Print(const StoryLine& aLine, std::int64_t aStartMs, std::ostream& aOut)
{
  aOut << (aLine.m_unixMs - aStartMs) << " ms  " << TextOf(aLine.m_fields, "vm")
       << "  " << TextOf(aLine.m_fields, "event");
  for (const auto& [name, value] : aLine.m_fields) {
    const bool isShown =
      name != "unix_ms" && name != "vm" && name != "event" && name != "id";
    if (isShown) {
      aOut << "  " << name << "=" << json::serialize(value);
    }
  }
  aOut << '\n';
}

} // namespace

std::vector<std::string_view>
StoryCommand::Arguments() const
{
  return { "ID", "FILE[,FILE...]" };
}

std::string_view
StoryCommand::Help() const
{
  return "Prints what the decision logs in these files tell of one request, "
         "in order of time.";
}

bool
StoryCommand::Run(AdminClient& /*aClient*/,
                  const Invocation& aInvocation,
                  const std::vector<std::string>& aArguments,
                  std::ostream& aOut,
                  CtlReason& aReason) const
{
  std::vector<StoryLine> lines;
  std::istringstream names(aArguments[1]);
  for (std::string name; std::getline(names, name, ',');) {
    std::ifstream file(name);
    if (!file) {
      aReason.Set(ExitCode::Usage, "cannot read " + name);
      return false;
    }
    ReadLines(file, lines);
  }
  std::stable_sort(
    lines.begin(), lines.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.m_unixMs < aRight.m_unixMs;
    });
  const std::vector<StoryLine> story = PickStory(lines, aArguments[0]);
  if (story.empty()) {
    aReason.Set(ExitCode::NotFound, "no line of request " + aArguments[0]);
    return false;
  }
  for (const StoryLine& line : story) {
    if (aInvocation.m_json) {
      aOut << json::serialize(line.m_fields) << '\n';
    } else {
      Print(line, story.front().m_unixMs, aOut);
    }
  }
  return true;
}

} // namespace parsleycove
