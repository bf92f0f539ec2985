// Host names as requests and configurations write them.
#include "Base/HostName.h"

#include <algorithm>

namespace parsleycove {

namespace {

std::string_view
WithoutPort(std::string_view aHost)
{
  // An IPv6 number holds colons itself and is written in brackets.
  const auto bracket =
    aHost.starts_with('[') ? aHost.find(']') : std::string_view::npos;
  const auto from = bracket == std::string_view::npos ? 0 : bracket;
  return aHost.substr(0, aHost.find(':', from));
}

char
ToSmallLetter(char aLetter)
{
  const bool isCapital = aLetter >= 'A' && aLetter <= 'Z';
  return isCapital ? static_cast<char>(aLetter - 'A' + 'a') : aLetter;
}

} // namespace

std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(WithoutPort(aHost));
  std::transform(host.begin(), host.end(), host.begin(), ToSmallLetter);
  return host;
}

} // namespace parsleycove
