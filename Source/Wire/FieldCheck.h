// Checks header fields for what the HTTP library lets pass.
#pragma once

#include <cstddef>
#include <string_view>

#include <boost/beast/http/field.hpp>

#include "Wire/Http.h"

namespace parsleycove {

// Most fields of one header. A stored field takes many times the memory of a
// short one on the wire, which limits in bytes do not count.
inline constexpr std::size_t kMaxHeaderFields = 1024;

// Returns an error for a field whose value is folded over several lines, since
// a line that begins with a blank may as well be a field with a blank in its
// name, and for a transfer coding other than chunked in HTTP/1.1. aName and
// aValue must refer to the bytes that the parser was given; aVersion is 10 or
// 11.
beast::error_code
CheckField(unsigned aVersion,
           http::field aField,
           std::string_view aName,
           std::string_view aValue);

} // namespace parsleycove
