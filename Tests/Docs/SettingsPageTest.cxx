// Keeps the page of settings equal to what the program takes.
#include "Docs/RepositoryText.h"

#include "Daemon/SettingTable.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

std::string
MakeRow(const SettingRow& aRow)
{
  const std::string given =
    aRow.m_default.empty() ? "" : "`" + std::string(aRow.m_default) + "`";
  return "| `--" + std::string(aRow.m_name) + "` | `" +
         std::string(aRow.m_variable) + "` | " + given + " | " +
         std::string(aRow.m_expected) + ": " + std::string(aRow.m_help) +
         " |\n";
}

} // namespace

TEST_GROUP(SettingsPage){};

TEST(SettingsPage, HasEverySettingAsTheProgramTakesIt)
{
  const std::string page = ReadRepositoryFile("docs/operate/install.md");
  for (const SettingRow& row : kSettings) {
    CHECK_TEXT(page.find(MakeRow(row)) != std::string::npos,
               Describe("install.md", "lacks", MakeRow(row)).c_str());
  }
  CHECK_EQUAL(kSettings.size(), FindAll(page, R"(\n(\| `--))").size());
}
