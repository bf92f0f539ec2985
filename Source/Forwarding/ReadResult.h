// How the reading of a request ended.
#pragma once

namespace parsleycove {

enum class ReadResult
{
  Request,
  // The caller closed or reset the connection, or stayed idle too long.
  Closed,
  HeaderTooLarge,
  BodyTooLarge,
  TimedOut,
  Malformed,
  // The receive budget was full and this request was chosen to make room.
  Refused,
};

} // namespace parsleycove
