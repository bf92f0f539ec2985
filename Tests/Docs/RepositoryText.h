// Files of the repository, as the tests of the documentation read them.
#pragma once

#include <set>
#include <string>
#include <vector>

namespace parsleycove {

// Reads a file below the repository's root.
std::string
ReadRepositoryFile(const std::string& aPath);

// Lists files below a folder with this ending, relative to the root.
std::vector<std::string>
ListRepositoryFiles(const std::string& aFolder, const std::string& aEnding);

// Returns all matches of the expression's first group.
std::vector<std::string>
FindAll(const std::string& aText, const std::string& aExpression);

// Joins what a failed check says about a page.
std::string
Describe(const std::string& aPage,
         const std::string& aWhat,
         const std::string& aName);

// Returns "Group.Name" of every CppUTest test below a folder, and the names of
// its scripts.
std::set<std::string>
ListTests(const std::string& aFolder);

} // namespace parsleycove
