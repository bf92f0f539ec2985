// Parses the command line of parsleycovectl.
#include "Ctl/CommandLine.h"

#include <charconv>

#include <getopt.h>

namespace parsleycove {

namespace {

enum Flag : int
{
  Server = 256, // above any character
  OperatorKey,
  Operator,
  Help,
  Json,
  WaitInForce,
  WaitMs,
  BaseRevision,
  ChangeId,
  Ran,
  NotRun,
};

const option kOptions[] = {
  { "server", required_argument, nullptr, Server },
  { "operator-key", required_argument, nullptr, OperatorKey },
  { "operator", required_argument, nullptr, Operator },
  { "help", no_argument, nullptr, Help },
  { "json", no_argument, nullptr, Json },
  { "wait-in-force", no_argument, nullptr, WaitInForce },
  { "wait-ms", required_argument, nullptr, WaitMs },
  { "base-revision", required_argument, nullptr, BaseRevision },
  { "change-id", required_argument, nullptr, ChangeId },
  { "ran", no_argument, nullptr, Ran },
  { "not-run", no_argument, nullptr, NotRun },
  {},
};

bool
ParseServers(const std::string& aText,
             Invocation& aInvocation,
             CtlReason& aReason)
{
  aInvocation.m_servers.clear();
  std::size_t first = 0;
  while (first < aText.size()) {
    const std::size_t last = std::min(aText.find(',', first), aText.size());
    const std::string part = aText.substr(first, last - first);
    const auto address = SocketAddress::Parse(part);
    if (!address) {
      aReason.Set(ExitCode::Usage,
                  "--server: expected IP:PORT[,IP:PORT...], got '" + part +
                    "'");
      return false;
    }
    aInvocation.m_servers.push_back(*address);
    first = last + 1;
  }
  return true;
}

bool
TakeNumber(const char* aFlag,
           const std::string& aText,
           std::uint64_t& aOut,
           CtlReason& aReason)
{
  if (const auto number = ParseNumber(aText)) {
    aOut = *number;
    return true;
  }
  aReason.Set(ExitCode::Usage,
              std::string(aFlag) + ": expected a number, got '" + aText + "'");
  return false;
}

// Applies a flag that takes a value.
bool
TakeValue(int aFlag,
          const std::string& aValue,
          Invocation& aInvocation,
          CtlReason& aReason)
{
  switch (aFlag) {
    case Server:
      return ParseServers(aValue, aInvocation, aReason);
    case OperatorKey:
      aInvocation.m_operatorKey = aValue;
      return true;
    case Operator:
      aInvocation.m_operator = aValue;
      return true;
    case ChangeId:
      aInvocation.m_changeId = aValue;
      return true;
    case WaitMs:
      return TakeNumber("--wait-ms", aValue, aInvocation.m_waitMs, aReason);
    default:
      aInvocation.m_baseRevision.emplace();
      return TakeNumber(
        "--base-revision", aValue, *aInvocation.m_baseRevision, aReason);
  }
}

bool
TakeFlag(int aFlag,
         const char* aValue,
         Invocation& aInvocation,
         CtlReason& aReason)
{
  switch (aFlag) {
    case Help:
      aInvocation.m_help = true;
      return true;
    case Json:
      aInvocation.m_json = true;
      return true;
    case WaitInForce:
      aInvocation.m_waitInForce = true;
      return true;
    case Ran:
    case NotRun:
      if (aInvocation.m_ran.has_value()) {
        aReason.Set(ExitCode::Usage, "give --ran or --not-run, once");
        return false;
      }
      aInvocation.m_ran = aFlag == Ran;
      return true;
    default:
      return TakeValue(aFlag, aValue, aInvocation, aReason);
  }
}

} // namespace

std::optional<std::uint64_t>
ParseNumber(const std::string& aText)
{
  std::uint64_t number = 0;
  const char* last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, number);
  if (aText.empty() || error != std::errc{} || end != last) {
    return std::nullopt;
  }
  return number;
}

std::optional<Invocation>
ParseCommandLine(const std::vector<std::string>& aArguments,
                 const CtlEnvironment& aEnvironment,
                 CtlReason& aReason)
{
  Invocation invocation;
  invocation.m_operatorKey = aEnvironment.m_operatorKey;
  invocation.m_operator = aEnvironment.m_user;
  if (!ParseServers(aEnvironment.m_servers, invocation, aReason)) {
    return std::nullopt;
  }
  std::vector<std::string> texts{ "parsleycovectl" };
  texts.insert(texts.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> pointers;
  for (std::string& text : texts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  const int count = static_cast<int>(texts.size());
  optind = 0; // also resets the scanner of getopt_long
  opterr = 0;
  for (;;) {
    const int flag =
      getopt_long(count, pointers.data(), ":", kOptions, nullptr);
    if (flag == -1) {
      break;
    }
    if (flag == ':' || flag == '?') {
      const char* fault = flag == ':' ? "a value is missing" : "unknown flag";
      aReason.Set(ExitCode::Usage,
                  std::string(pointers[optind - 1]) + ": " + fault);
      return std::nullopt;
    }
    if (!TakeFlag(flag, optarg, invocation, aReason)) {
      return std::nullopt;
    }
  }
  for (int i = optind; i < count; ++i) {
    invocation.m_words.emplace_back(pointers[i]);
  }
  return invocation;
}

} // namespace parsleycove
