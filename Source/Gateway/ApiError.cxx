// Errors as callers, endpoints and operators see them.
#include "Gateway/ApiError.h"

#include <array>

#include <boost/json.hpp>

#include "Base/EnumTable.h"

namespace parsleycove {

namespace {

struct ApiErrorRow
{
  ApiErrorCode m_value;
  std::string_view m_name;
  unsigned m_status;
};

constexpr std::array<ApiErrorRow, 23> kApiErrors{ {
  { ApiErrorCode::BadRequest, "bad_request", 400 },
  { ApiErrorCode::Unauthorized, "unauthorized", 401 },
  { ApiErrorCode::NotFound, "not_found", 404 },
  { ApiErrorCode::MethodNotAllowed, "method_not_allowed", 405 },
  { ApiErrorCode::BodyTooLarge, "body_too_large", 413 },
  { ApiErrorCode::HeaderTooLarge, "header_too_large", 431 },
  { ApiErrorCode::RequestTimeout, "request_timeout", 408 },
  { ApiErrorCode::IdempotencyKeyRequired, "idempotency_key_required", 400 },
  { ApiErrorCode::IdempotencyKeyReused, "idempotency_key_reused", 422 },
  { ApiErrorCode::IdempotencyKeyExpired, "idempotency_key_expired", 410 },
  { ApiErrorCode::RevisionConflict, "revision_conflict", 409 },
  { ApiErrorCode::Invalid, "invalid", 400 },
  { ApiErrorCode::InProgress, "in_progress", 409 },
  { ApiErrorCode::Overloaded, "overloaded", 429 },
  { ApiErrorCode::NoRunner, "no_runner", 503 },
  { ApiErrorCode::NotReady, "not_ready", 503 },
  { ApiErrorCode::Draining, "draining", 503 },
  { ApiErrorCode::ServiceClosed, "service_closed", 410 },
  { ApiErrorCode::EndpointFailed, "endpoint_failed", 502 },
  { ApiErrorCode::DeadlineExceeded, "deadline_exceeded", 504 },
  { ApiErrorCode::OutcomeUnknown, "outcome_unknown", 504 },
  { ApiErrorCode::ControlUnavailable, "control_unavailable", 503 },
  { ApiErrorCode::Internal, "internal", 500 },
} };

constexpr std::array<EnumName<CallOutcome>, 4> kOutcomeNames{ {
  { CallOutcome::NotApplicable, "not_applicable" },
  { CallOutcome::NotRun, "not_run" },
  { CallOutcome::NotAttempted, "not_attempted" },
  { CallOutcome::Unknown, "unknown" },
} };

const ApiErrorRow&
RowOf(ApiErrorCode aCode)
{
  for (const ApiErrorRow& row : kApiErrors) {
    if (row.m_value == aCode) {
      return row;
    }
  }
  return kApiErrors.back();
}

} // namespace

std::string_view
NameOfApiError(ApiErrorCode aCode)
{
  return RowOf(aCode).m_name;
}

unsigned
ApiError::Status() const
{
  return RowOf(m_code).m_status;
}

std::string
ApiError::Print() const
{
  boost::json::object error{ { "code", NameOfApiError(m_code) },
                             { "message", m_message } };
  if (m_outcome != CallOutcome::NotApplicable) {
    error["outcome"] = NameOf(kOutcomeNames, m_outcome);
  }
  if (m_retryAfter) {
    error["retry_after_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(*m_retryAfter)
        .count();
  }
  return boost::json::serialize(boost::json::object{ { "error", error } });
}

} // namespace parsleycove
