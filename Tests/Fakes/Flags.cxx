// Long command-line flags of the stand-ins, read with getopt_long.
#include "Fakes/Flags.h"

#include <cstdio>
#include <exception>

#include <getopt.h>

namespace parsleycove::fakes {

bool
ReadFlags(int aCount, char** aArguments, const std::vector<Flag>& aFlags)
{
  std::vector<option> options;
  options.reserve(aFlags.size() + 1);
  for (const Flag& flag : aFlags) {
    const int argument = flag.m_takesValue ? required_argument : no_argument;
    options.push_back({ flag.m_name, argument, nullptr, 0 });
  }
  options.push_back({});
  int index = 0;
  optind = 1;
  for (;;) {
    const int found =
      getopt_long(aCount, aArguments, "", options.data(), &index);
    if (found == -1) {
      break;
    }
    if (found != 0) {
      return false;
    }
    const Flag& flag = aFlags[index];
    try {
      flag.m_apply(optarg != nullptr ? optarg : "");
    } catch (const std::exception&) {
      std::fprintf(stderr, "--%s: bad value '%s'\n", flag.m_name, optarg);
      return false;
    }
  }
  if (optind < aCount) {
    std::fprintf(stderr, "unexpected argument '%s'\n", aArguments[optind]);
    return false;
  }
  return true;
}

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> parts;
  std::size_t first = 0;
  while (first <= aText.size()) {
    std::size_t last = aText.find(',', first);
    if (last == std::string::npos) {
      last = aText.size();
    }
    if (last > first) {
      parts.push_back(aText.substr(first, last - first));
    }
    first = last + 1;
  }
  return parts;
}

} // namespace parsleycove::fakes
