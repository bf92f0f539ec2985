// Result of one HTTP call to an endpoint.
#pragma once

#include <optional>
#include <string>

#include "Base/Reason.h"
#include "Wire/Http.h"

namespace parsleycove {

enum class CallError
{
  None,
  // No connection was made: no byte was sent.
  NotConnected,
  // The connection broke after bytes may have been sent.
  Broken,
  // No answer came within the time-out; bytes were sent.
  NoAnswer,
};
using CallReason = Reason<CallError>;

struct CallResult
{
  std::optional<HttpResponse> m_response;
  CallReason m_reason;
  // The call failed because a time-out expired.
  bool m_hasTimedOut = false;

  // Returns true if the endpoint cannot have received any part of the call.
  bool IsUnsent() const { return m_reason.m_code == CallError::NotConnected; }
};

} // namespace parsleycove
