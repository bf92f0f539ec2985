// What a handler knows of the request that it answers.
#pragma once

#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Wire/Http.h"

namespace parsleycove {

class RequestTrace;
class Worker;

struct RequestContext
{
  const HttpRequest& m_request;
  std::string_view m_path;  // without the query
  std::string_view m_query; // without the question mark
  TimePoint m_arrival;
  RequestTrace& m_trace;
  Worker& m_worker;

  // Returns a header's value, or an empty text.
  std::string_view Header(std::string_view aName) const;
  // Returns the bearer key of the Authorization header, or an empty text.
  std::string_view BearerKey() const;
  // Returns the value of one query parameter, or an empty text.
  std::string_view QueryValue(std::string_view aName) const;
};

} // namespace parsleycove
