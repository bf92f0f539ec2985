// Errors as callers, endpoints and operators see them.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Base/Clock.h"

namespace parsleycove {

// Stable codes; the texts beside them may change, the codes may not.
enum class ApiErrorCode
{
  BadRequest,
  Unauthorized,
  NotFound,
  MethodNotAllowed,
  BodyTooLarge,
  HeaderTooLarge,
  RequestTimeout,
  IdempotencyKeyRequired,
  IdempotencyKeyReused,
  IdempotencyKeyExpired,
  RevisionConflict,
  Invalid,
  InProgress,
  Overloaded,
  NoRunner,
  NotReady,
  Draining,
  ServiceClosed,
  EndpointFailed,
  DeadlineExceeded,
  OutcomeUnknown,
  ControlUnavailable,
  Internal,
};

std::string_view
NameOfApiError(ApiErrorCode aCode);

// What is known about the work that the caller asked for.
enum class CallOutcome
{
  // Not a matter of running anything, or a call that may be repeated.
  NotApplicable,
  // It did not run and never will under this attempt.
  NotRun,
  // This call ran nothing, but the ledger was not asked, so earlier calls with
  // the same idempotency key may have run.
  NotAttempted,
  // It may have run; ask GET /v1/actions/{key}.
  Unknown,
};

struct ApiError
{
  ApiErrorCode m_code = ApiErrorCode::Internal;
  std::string m_message;
  CallOutcome m_outcome = CallOutcome::NotApplicable;
  // When to come back.
  std::optional<Duration> m_retryAfter;

  unsigned Status() const;
  // The JSON body of the answer.
  std::string Print() const;
};

} // namespace parsleycove
