// Checks that links between pages, and commands that pages name, lead
// somewhere.
#include "Docs/RepositoryText.h"

#include <filesystem>

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

std::vector<std::string>
ListPages()
{
  std::vector<std::string> pages = ListRepositoryFiles("docs", ".md");
  pages.emplace_back("README.md");
  pages.emplace_back("CONTRIBUTING.md");
  return pages;
}

bool
Exists(const std::filesystem::path& aPath)
{
  return std::filesystem::exists(std::filesystem::path(REPOSITORY) / aPath);
}

} // namespace

TEST_GROUP(Link){};

TEST(Link, EveryLinkLeadsToAFile)
{
  for (const std::string& page : ListPages()) {
    const auto folder = std::filesystem::path(page).parent_path();
    const auto links = FindAll(ReadRepositoryFile(page), R"(\]\(([^)#:]+)\))");
    for (const std::string& link : links) {
      CHECK_TEXT(Exists(folder / link),
                 Describe(page, "links to", link).c_str());
    }
  }
}

TEST(Link, EveryScriptThatAPageNamesIsThere)
{
  for (const std::string& page : ListPages()) {
    const auto scripts =
      FindAll(ReadRepositoryFile(page), R"(\bsh (Utilities/[\w./-]+\.sh))");
    for (const std::string& script : scripts) {
      CHECK_TEXT(Exists(script), Describe(page, "names", script).c_str());
    }
  }
}
