// What became of one HTTP call to an endpoint.
#pragma once

#include <optional>
#include <string>

#include "Base/Reason.h"
#include "Wire/Http.h"

namespace parsleycove {

enum class CallError
{
  None,
  // No connection: not a byte has left.
  NotConnected,
  // The connection broke after bytes may have left.
  Broken,
  // No answer within the time-out; bytes have left.
  NoAnswer,
};
using CallReason = Reason<CallError>;

struct CallResult
{
  std::optional<HttpResponse> m_response;
  CallReason m_reason;
  // The failure is a wait that ended.
  bool m_hasTimedOut = false;

  // True while the endpoint cannot have seen the call.
  bool IsUnsent() const { return m_reason.m_code == CallError::NotConnected; }
};

} // namespace parsleycove
