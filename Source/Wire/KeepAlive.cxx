// The Keep-Alive field of an answer.
#include "Wire/KeepAlive.h"

#include <charconv>

#include <boost/beast/core/string.hpp>

#include "Base/Text.h"

namespace parsleycove {

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
