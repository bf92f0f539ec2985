// Tests that fail for a known fault, as KNOWN-RED.txt lists them.
#include "Support/KnownRed.h"

#include <sstream>

namespace parsleycove {

std::vector<std::string>
FindKnownRed(std::string_view aList, std::string_view aProgram)
{
  std::vector<std::string> tests;
  std::istringstream lines{ std::string(aList) };
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string field;
    std::string program;
    std::string test;
    words >> field >> program >> test;
    if (field == "test:" && program == aProgram && !test.empty()) {
      tests.push_back(test);
    }
  }
  return tests;
}

} // namespace parsleycove
