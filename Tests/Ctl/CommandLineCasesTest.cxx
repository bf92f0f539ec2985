// Runs the cases of Tests/Ctl/Cases against the command line.
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "Ctl/CommandLine.h"
#include "Ctl/CommandTable.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove; // NOLINT: of a test

namespace {

// A case must be decided before anything is sent.
class NoTransport final : public Transport
{
public:
  std::optional<AdminAnswer> Send(const SocketAddress&,
                                  const AdminCall& aCall,
                                  TransportReason& aReason) override
  {
    aReason.Set(TransportError::NotSent, "unexpected: " + aCall.m_target);
    return std::nullopt;
  }
};

struct Case
{
  std::vector<std::string> m_arguments;
  int m_exit = -1;
  std::string m_message;
};

Case
ReadCase(const std::filesystem::path& aPath)
{
  Case result;
  std::ifstream file(aPath);
  std::string line;
  while (std::getline(file, line)) {
    const std::size_t colon = line.find(": ");
    const std::string field = line.substr(0, colon);
    const std::string value = line.substr(colon + 2);
    if (field == "arguments") {
      std::istringstream words(value);
      std::string word;
      while (words >> word) {
        result.m_arguments.push_back(word);
      }
    } else if (field == "exit") {
      result.m_exit = std::stoi(value);
    } else {
      result.m_message = value;
    }
  }
  return result;
}

} // namespace

TEST_GROUP(CommandLineCases){};

TEST(CommandLineCases, GiveTheExpectedExitCodeAndMessage)
{
  constexpr std::size_t expectedCases = 19;
  std::size_t cases = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(PARSLEYCOVE_CTL_CASES)) {
    const Case one = ReadCase(entry.path());
    CtlReason reason;
    std::ostringstream out;
    std::ostringstream errors;
    const auto invocation = ParseCommandLine(one.m_arguments, {}, reason);
    ExitCode code = reason.m_code;
    if (invocation) {
      NoTransport transport;
      code = CommandTable().Run(*invocation, transport, out, errors);
    } else {
      errors << reason.m_text;
    }
    const std::string text = out.str() + errors.str();
    const std::string name = entry.path().filename();
    LONGS_EQUAL_TEXT(one.m_exit, static_cast<int>(code), name.c_str());
    STRCMP_CONTAINS_TEXT(one.m_message.c_str(), text.c_str(), name.c_str());
    ++cases;
  }
  CHECK_EQUAL(expectedCases, cases);
}
