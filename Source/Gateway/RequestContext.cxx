// What a handler knows of the request that it answers.
#include "Gateway/RequestContext.h"

#include <boost/beast/core/string.hpp>

namespace parsleycove {

std::string_view
RequestContext::Header(std::string_view aName) const
{
  const auto found = m_request.find(aName);
  if (found == m_request.end()) {
    return {};
  }
  return found->value();
}

std::string_view
RequestContext::BearerKey() const
{
  static constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value = Header("Authorization");
  const bool isBearer =
    value.size() > kScheme.size() &&
    beast::iequals(value.substr(0, kScheme.size()), kScheme);
  return isBearer ? value.substr(kScheme.size()) : std::string_view{};
}

std::string_view
RequestContext::QueryValue(std::string_view aName) const
{
  std::string_view rest = m_query;
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aName) {
      return pair.substr(equals + 1);
    }
    if (end == std::string_view::npos) {
      break;
    }
    rest.remove_prefix(end + 1);
  }
  return {};
}

} // namespace parsleycove
