// Long command-line flags of the stand-ins, read with getopt_long.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace parsleycove::fakes {

// One flag; a switch takes no value and is handed an empty text.
struct Flag
{
  const char* m_name;
  bool m_takesValue;
  std::function<void(const std::string&)> m_apply;
};

// Applies all flags; says on stderr what is wrong and returns false.
bool
ReadFlags(int aCount, char** aArguments, const std::vector<Flag>& aFlags);

// Splits at commas; no empty parts.
std::vector<std::string>
SplitList(const std::string& aText);

} // namespace parsleycove::fakes
