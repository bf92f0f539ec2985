// The main program of every CppUTest executable. Leaves out the tests that
// KNOWN-RED.txt lists; with --known-red as its first argument it runs only
// these.
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>

#include "Support/KnownRed.h"

// Last, since its leak macros redefine new.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace {

std::vector<std::string>
ReadKnownRed(const std::string& aProgramPath)
{
  std::ifstream file(KNOWN_RED_FILE);
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  return parsleycove::FindKnownRed(
    text, aProgramPath.substr(aProgramPath.rfind('/') + 1));
}

} // namespace

int
main(int argc, char** argv)
{
  // The leak macros clash with the standard library; sanitizers find leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  std::vector<std::string> words(argv, argv + argc);
  const bool runsKnownRed = words.size() > 1 && words[1] == "--known-red";
  if (runsKnownRed) {
    words.erase(words.begin() + 1);
  }
  for (const std::string& test : ReadKnownRed(words[0])) {
    std::cout << "known red, " << (runsKnownRed ? "run: " : "not run: ") << test
              << std::endl;
    words.emplace_back(runsKnownRed ? "-st" : "-xst");
    words.push_back(test);
  }
  std::vector<const char*> arguments;
  for (const std::string& word : words) {
    arguments.push_back(word.c_str());
  }
  return CommandLineTestRunner::RunAllTests(static_cast<int>(arguments.size()),
                                            arguments.data());
}
