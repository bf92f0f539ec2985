// HTTP parser that checks the fields of headers and trailers.
#pragma once

#include <cstddef>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include "Wire/FieldCheck.h"

namespace parsleycove {

// Trailers are checked, but do not become fields of the header: they could not
// be told from what the peer said before the body. A header of more than
// kMaxHeaderFields fields ends with http::error::header_limit.
template<bool IsRequest, class Body>
class StrictParser : public http::parser<IsRequest, Body>
{
private:
  void on_field_impl(http::field aField,
                     beast::string_view aName,
                     beast::string_view aValue,
                     beast::error_code& aError) override
  {
    aError = CheckField(this->get().version(), aField, aName, aValue);
    if (aError || this->is_header_done()) {
      return;
    }
    if (++m_fieldCount > kMaxHeaderFields) {
      aError = http::error::header_limit;
      return;
    }
    this->get().insert(aField, aName, aValue);
  }

  std::size_t m_fieldCount = 0;
};

} // namespace parsleycove
