// Names of the header fields that belong to one connection only.
#include "Wire/ConnectionOptions.h"

#include <algorithm>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace parsleycove {

ConnectionOptions::ConnectionOptions(const http::fields& aFields)
{
  const auto [first, end] = aFields.equal_range(http::field::connection);
  for (auto field = first; field != end; ++field) {
    for (const auto name : http::token_list(field->value())) {
      m_names.push_back(name);
    }
  }
  std::sort(m_names.begin(), m_names.end(), beast::iless());
  const auto last =
    std::unique(m_names.begin(), m_names.end(), beast::iequal());
  m_names.erase(last, m_names.end());
}

bool
ConnectionOptions::Contains(std::string_view aName) const
{
  return std::binary_search(
    m_names.begin(), m_names.end(), aName, beast::iless());
}

} // namespace parsleycove
