// The main program of every CppUTest executable. Leaves out the tests that
// KNOWN-RED.txt lists; with --known-red as its first argument it runs only
// these.
#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

#include "Support/KnownRed.h"

// Last, since its leak macros redefine new.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

namespace {

std::vector<std::string>
ReadKnownRed(const std::string& aProgramPath)
{
  std::ifstream file(KNOWN_RED_FILE);
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  return parsleycove::FindKnownRed(
    text, aProgramPath.substr(aProgramPath.rfind('/') + 1));
}

// Keeps the tests that are listed, or those that are not. The runner's own
// filters cannot exclude more than one test.
void
SelectTests(const std::vector<std::string>& aKnownRed, bool aRunsKnownRed)
{
  TestRegistry& registry = *TestRegistry::getCurrentRegistry();
  std::vector<UtestShell*> tests;
  for (UtestShell* test = registry.getFirstTest(); test != nullptr;
       test = test->getNext()) {
    tests.push_back(test);
  }
  for (std::size_t left = tests.size(); left != 0; --left) {
    registry.unDoLastAddTest();
  }
  std::for_each(tests.rbegin(), tests.rend(), [&](UtestShell* aTest) {
    const std::string name = std::string(aTest->getGroup().asCharString()) +
                             "." + aTest->getName().asCharString();
    const bool isRed =
      std::find(aKnownRed.begin(), aKnownRed.end(), name) != aKnownRed.end();
    if (isRed == aRunsKnownRed) {
      registry.addTest(aTest);
    }
    if (isRed) {
      std::cout << "known red, " << (aRunsKnownRed ? "run: " : "not run: ")
                << name << std::endl;
    }
  });
}

} // namespace

int
main(int argc, char** argv)
{
  // The leak macros clash with the standard library; sanitizers find leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  std::vector<char*> arguments(argv, argv + argc);
  const bool runsKnownRed =
    argc > 1 && std::string_view(argv[1]) == "--known-red";
  if (runsKnownRed) {
    arguments.erase(arguments.begin() + 1);
  }
  SelectTests(ReadKnownRed(argv[0]), runsKnownRed);
  return CommandLineTestRunner::RunAllTests(static_cast<int>(arguments.size()),
                                            arguments.data());
}
