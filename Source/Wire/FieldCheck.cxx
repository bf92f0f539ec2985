// Checks header fields for what the HTTP library lets pass.
#include "Wire/FieldCheck.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace parsleycove {

namespace {

constexpr unsigned kHttp11 = 11;

// The parser joins the lines of a folded value elsewhere, or skips empty first
// lines. Any other value lies behind the colon and blanks.
bool
IsFolded(std::string_view aName, std::string_view aValue)
{
  const char* place = aName.data() + aName.size() + 1;
  while (*place == ' ' || *place == '\t') {
    ++place;
  }
  return place != aValue.data();
}

} // namespace

beast::error_code
CheckField(unsigned aVersion,
           http::field aField,
           std::string_view aName,
           std::string_view aValue)
{
  if (IsFolded(aName, aValue)) {
    return http::error::bad_value;
  }
  const bool isUnknownCoding =
    aField == http::field::transfer_encoding &&
    (aVersion != kHttp11 || !beast::iequals(aValue, "chunked"));
  return isUnknownCoding ? http::error::bad_transfer_encoding
                         : beast::error_code{};
}

} // namespace parsleycove
