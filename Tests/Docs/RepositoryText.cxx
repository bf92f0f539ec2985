// Files of the repository, as the tests of the documentation read them.
#include "Docs/RepositoryText.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <utility>

namespace parsleycove {

namespace {

const std::filesystem::path kRoot(REPOSITORY);

} // namespace

std::string
ReadRepositoryFile(const std::string& aPath)
{
  std::ifstream file(kRoot / aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

std::vector<std::string>
ListRepositoryFiles(const std::string& aFolder, const std::string& aEnding)
{
  std::vector<std::string> paths;
  const auto folder = kRoot / aFolder;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(folder)) {
    if (entry.path().extension() == aEnding) {
      paths.push_back(std::filesystem::relative(entry.path(), kRoot));
    }
  }
  return paths;
}

std::vector<std::string>
FindAll(const std::string& aText, const std::string& aExpression)
{
  const std::regex expression(aExpression);
  std::vector<std::string> found;
  for (std::sregex_iterator match(aText.begin(), aText.end(), expression), end;
       match != end;
       ++match) {
    found.push_back((*match)[1]);
  }
  return found;
}

std::string
Describe(const std::string& aPage,
         const std::string& aWhat,
         const std::string& aName)
{
  return aPage + " " + aWhat + " " + aName;
}

std::set<std::string>
ListTests(const std::string& aFolder)
{
  static const std::regex kTest(R"(\bTEST\((\w+),\s*(\w+)\))");
  std::set<std::string> tests;
  for (const std::string& path : ListRepositoryFiles(aFolder, ".cxx")) {
    const std::string text = ReadRepositoryFile(path);
    for (std::sregex_iterator match(text.begin(), text.end(), kTest), end;
         match != end;
         ++match) {
      std::string name = (*match)[1];
      name.append(".").append((*match)[2].str());
      tests.insert(std::move(name));
    }
  }
  for (const std::string& path : ListRepositoryFiles(aFolder, ".sh")) {
    tests.insert(std::filesystem::path(path).filename());
  }
  return tests;
}

} // namespace parsleycove
