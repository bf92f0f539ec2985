// Tests of reading and checking settings; the errors are in the folder Cases.
#include "Daemon/DaemonSettings.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

// A list of texts in the form that main() takes.
class TextList
{
public:
  explicit TextList(std::vector<std::string> aTexts)
    : m_texts(std::move(aTexts))
  {
    for (std::string& text : m_texts) {
      m_pointers.push_back(text.data());
    }
    m_pointers.push_back(nullptr);
  }
  int Count() const { return static_cast<int>(m_texts.size()); }
  char** Data() { return m_pointers.data(); }

private:
  std::vector<std::string> m_texts;
  std::vector<char*> m_pointers;
};

// Returns the error text, or an empty one when the settings are good.
std::string
FindError(std::vector<std::string> aArguments,
          std::vector<std::string> aVariables)
{
  aArguments.insert(aArguments.begin(), "parsleycoved");
  TextList arguments(std::move(aArguments));
  TextList variables(std::move(aVariables));
  SettingReader reader;
  if (!reader.Read(arguments.Count(), arguments.Data(), variables.Data())) {
    return reader.LastReason().m_text;
  }
  SettingReason reason;
  DaemonSettings::Check(reader, 1, reason);
  return reason.m_text;
}

// Checks the settings of an entry VM with aArguments besides.
std::optional<DaemonSettings>
CheckEntry(const std::vector<std::string>& aArguments)
{
  std::vector<std::string> all{ "parsleycoved", "--vm",   "a",
                                "--zone",       "z",      "--seeds",
                                "127.0.0.1:1",  "--role", "entry" };
  all.insert(all.end(), aArguments.begin(), aArguments.end());
  TextList arguments(std::move(all));
  TextList variables({});
  SettingReader reader;
  SettingReason reason;
  if (!reader.Read(arguments.Count(), arguments.Data(), variables.Data())) {
    return std::nullopt;
  }
  return DaemonSettings::Check(reader, 1, reason);
}

std::vector<std::string>
ReadList(const boost::json::object& aCase, const char* aKey)
{
  return boost::json::value_to<std::vector<std::string>>(aCase.at(aKey));
}

boost::json::object
ReadCase(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  return boost::json::parse(text).as_object();
}

} // namespace

TEST_GROUP(Settings){};

TEST(Settings, EveryErrorNamesSettingValueAndExpectation)
{
  int cases = 0;
  for (const auto& entry : std::filesystem::directory_iterator(CASES_FOLDER)) {
    const boost::json::object fields = ReadCase(entry.path());
    const std::string expected =
      boost::json::value_to<std::string>(fields.at("error"));
    const std::string found =
      FindError(ReadList(fields, "arguments"), ReadList(fields, "variables"));
    STRCMP_EQUAL_TEXT(
      expected.c_str(), found.c_str(), entry.path().filename().c_str());
    ++cases;
  }
  CHECK(cases >= 10);
}

TEST(Settings, FlagGoesBeforeVariableAndVariableBeforeDefault)
{
  TextList arguments({ "parsleycoved", "--vm", "a", "--zone", "z" });
  TextList variables({ "PARSLEYCOVE_VM=b",
                       "PARSLEYCOVE_THREADS=7",
                       "PARSLEYCOVE_SEEDS=127.0.0.1:1",
                       "HOME=/" });
  SettingReader reader;
  CHECK(reader.Read(arguments.Count(), arguments.Data(), variables.Data()));
  SettingReason reason;
  const auto settings = DaemonSettings::Check(reader, 1, reason);
  CHECK(settings.has_value());
  STRCMP_EQUAL("a", settings->m_gateway.m_vm.c_str());
  CHECK_EQUAL(7, settings->m_gateway.m_threads);
  CHECK_EQUAL(16384, settings->m_gateway.m_maxHeaderBytes);
  CHECK_FALSE(settings->m_replica.has_value());
}

TEST(Settings, TheFileGoesBehindFlagsAndVariables)
{
  TextList arguments({ "parsleycoved", "--vm", "a" });
  TextList variables({ "PARSLEYCOVE_THREADS=7" });
  SettingReader reader;
  CHECK(reader.Read(arguments.Count(), arguments.Data(), variables.Data()));
  CHECK(reader.ReadFile("# rendered\n"
                        "PARSLEYCOVE_VM=b\n"
                        "PARSLEYCOVE_THREADS=9\n"
                        "PARSLEYCOVE_ZONE=z\n"
                        "PARSLEYCOVE_DATA_FOLDER=\n"
                        "PARSLEYCOVE_LATER_SETTING=x\n"
                        "PARSLEYCOVE_SEEDS=10.0.0.1:1,10.0.0.2:1\n"
                        "PARSLEYCOVE_PEER_PORT=7000"));
  SettingReason reason;
  const auto settings = DaemonSettings::Check(reader, 1, reason);
  CHECK_TEXT(settings.has_value(), reason.m_text.c_str());
  STRCMP_EQUAL("a", settings->m_gateway.m_vm.c_str());
  STRCMP_EQUAL("z", settings->m_gateway.m_zone.c_str());
  CHECK_EQUAL(7, settings->m_gateway.m_threads);
  CHECK_EQUAL(7000, settings->m_client.m_seeds[1].m_port);
}

TEST(Settings, AFileThatIsNoSettingsFileChangesNothing)
{
  TextList arguments({ "parsleycoved" });
  TextList variables({});
  SettingReader reader;
  CHECK(reader.Read(arguments.Count(), arguments.Data(), variables.Data()));
  CHECK_FALSE(reader.ReadFile("PARSLEYCOVE_VM=b\n\x01\x02"));
  CHECK(reader.LastReason().m_text.find("expected NAME=VALUE") !=
        std::string::npos);
  CHECK(reader.TextOf(SettingId::Vm).empty());
}

TEST(Settings, TheSeedsFoundTheGroupAtTheFirstStartOnly)
{
  const auto folder = std::filesystem::temp_directory_path().string();
  for (const char* first : { "true", "false" }) {
    TextList arguments({ "parsleycoved",
                         "--vm",
                         "a",
                         "--zone",
                         "z",
                         "--role",
                         "control",
                         "--data-folder",
                         folder,
                         "--control-listen",
                         "10.0.0.9:7000",
                         "--seeds",
                         "10.0.0.1:8000,10.0.0.2:8000,10.0.0.3:8000",
                         "--peer-port",
                         "7000",
                         "--tolerated-losses",
                         "2",
                         "--first-start",
                         first });
    TextList variables({});
    SettingReader reader;
    CHECK(reader.Read(arguments.Count(), arguments.Data(), variables.Data()));
    SettingReason reason;
    const auto settings = DaemonSettings::Check(reader, 1, reason);
    CHECK_TEXT(settings.has_value(), reason.m_text.c_str());
    CHECK_EQUAL(std::string(first) == "true", settings->m_start.m_isFirstStart);
    CHECK_EQUAL(3U, settings->m_start.m_founders.size());
    CHECK_EQUAL(5U, settings->m_replica->m_targetVoters);
  }
}

TEST(Settings, TurnsThePromptSpreadOff)
{
  CHECK_TRUE(CheckEntry({})->m_forward.m_promptSpread.m_isEnabled);
  CHECK_FALSE(CheckEntry({ "--prompt-spread", "false" })
                ->m_forward.m_promptSpread.m_isEnabled);
}

TEST(Settings, TakesFractionsAndRoundsThemToTheSafeSide)
{
  const auto settings = CheckEntry({ "--retry-slack",
                                     "47.833333333333336",
                                     "--retry-window-ms",
                                     "7.5s",
                                     "--stop-grace-ms",
                                     "2500.9",
                                     "--drain-grace-ms",
                                     "2500.1ms",
                                     "--idle-timeout-ms",
                                     "0.2504s" });
  CHECK(settings.has_value());
  DOUBLES_EQUAL(47, settings->m_forward.m_retries.m_slack, 1e-9);
  CHECK(settings->m_forward.m_retries.m_window ==
        std::chrono::milliseconds(7500));
  CHECK(settings->m_forward.m_stopGrace == std::chrono::milliseconds(2500));
  CHECK(settings->m_forward.m_drainGrace == std::chrono::milliseconds(2501));
  CHECK(settings->m_gateway.m_idleTimeout == std::chrono::milliseconds(251));
}

TEST(Settings, RefusesTextsThatAreNoFiniteNumber)
{
  for (const char* text : { "nan", "inf", "1e400", "0x10", "5,5", "4 7" }) {
    for (const char* flag : { "--retry-slack", "--retry-ratio" }) {
      CHECK_FALSE(CheckEntry({ flag, text }).has_value());
    }
  }
  for (const char* text : { "s", "ms", "-5s", "nans", "1e300s", "5m", "2 s" }) {
    CHECK_FALSE(CheckEntry({ "--retry-window-ms", text }).has_value());
  }
}

TEST(Settings, TheRevocationLimitSetsTheConfigurationLease)
{
  const std::string folder = std::filesystem::temp_directory_path().string();
  std::vector<std::string> arguments{
    "--role",           "control",       "--data-folder",         folder,
    "--control-listen", "10.0.0.9:7000", "--revocation-limit-ms", "2500.5"
  };
  const auto settings = CheckEntry(arguments);
  CHECK(settings.has_value());
  CHECK(settings->m_replica->m_configLease == std::chrono::milliseconds(2100));
}

TEST(Settings, HelpNamesEverySetting)
{
  const std::string help = PrintSettingsHelp();
  for (const SettingRow& row : kSettings) {
    CHECK(help.find("--" + std::string(row.m_name)) != std::string::npos);
    CHECK(help.find(row.m_variable) != std::string::npos);
  }
}
