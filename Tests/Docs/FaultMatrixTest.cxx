// Keeps the fault matrix and the table of properties true to the tests.
#include "Docs/RepositoryText.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

// A test's name in a page: `Group.Name`, or `Script.sh`.
constexpr const char* kNameInPage = R"(`(\w+\.(?:sh|[A-Z]\w+))`)";

void
CheckNamedTestsExist(const std::string& aPage)
{
  const std::set<std::string> tests = ListTests("Tests");
  const auto named = FindAll(ReadRepositoryFile(aPage), kNameInPage);
  CHECK(!named.empty());
  for (const std::string& name : named) {
    CHECK_TEXT(tests.count(name) == 1,
               Describe(aPage, "names no test:", name).c_str());
  }
}

} // namespace

TEST_GROUP(FaultMatrix){};

TEST(FaultMatrix, NamesOnlyTestsThatExist)
{
  CheckNamedTestsExist("docs/FAULT-MATRIX.md");
  CheckNamedTestsExist("docs/PROPERTIES.md");
}

TEST(FaultMatrix, NamesEveryFaultTest)
{
  const std::string page = ReadRepositoryFile("docs/FAULT-MATRIX.md");
  for (const std::string& name : ListTests("Tests/Faults")) {
    CHECK_TEXT(page.find("`" + name + "`") != std::string::npos,
               Describe("docs/FAULT-MATRIX.md", "lacks", name).c_str());
  }
}

TEST(FaultMatrix, LeavesNoCellEmpty)
{
  const std::string page = ReadRepositoryFile("docs/FAULT-MATRIX.md");
  const auto empty = FindAll(page, R"((\n\|[^\n]*\|[ \t]*\|[^\n]*))");
  CHECK_EQUAL(0, empty.size());
}
