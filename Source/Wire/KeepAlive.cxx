// The Keep-Alive field of an answer.
#include "Wire/KeepAlive.h"

#include <charconv>

#include <boost/beast/core/string.hpp>

namespace parsleycove {

namespace {

std::string_view
Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  const auto last = aText.find_last_not_of(" \t");
  return first == std::string_view::npos
           ? std::string_view{}
           : aText.substr(first, last - first + 1);
}

} // namespace

std::optional<std::chrono::seconds>
ReadIdleLimit(std::string_view aKeepAlive)
{
  for (std::string_view rest = aKeepAlive; !rest.empty();) {
    const auto comma = rest.find(',');
    const std::string_view parameter = rest.substr(0, comma);
    rest.remove_prefix(parameter.size() + (comma == rest.npos ? 0 : 1));
    const auto equals = parameter.find('=');
    if (equals == std::string_view::npos ||
        !boost::beast::iequals(Trim(parameter.substr(0, equals)), "timeout")) {
      continue;
    }
    const std::string_view digits = Trim(parameter.substr(equals + 1));
    unsigned seconds = 0;
    const auto [stop, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (error == std::errc{}) {
      return std::chrono::seconds(seconds);
    }
  }
  return std::nullopt;
}

} // namespace parsleycove
