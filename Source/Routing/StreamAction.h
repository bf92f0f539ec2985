// Actions that the state machine of a generation returns to its caller.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Base/Clock.h"
#include "Base/EnumTable.h"
#include "Routing/Runner.h"

namespace parsleycove {

// Inputs of one step: m_tokens for stage 0, m_hidden for the other stages.
struct EngineStep
{
  std::uint32_t m_attempt = 0;
  std::uint32_t m_position = 0;
  std::uint32_t m_count = 0;
  std::vector<std::uint32_t> m_tokens;
  std::string m_hidden;
};

struct SendStep
{
  std::size_t m_stage = 0;
  RunnerPtr m_runner;
  EngineStep m_step;
};

struct SendCancel
{
  std::size_t m_stage = 0;
  RunnerPtr m_runner;
  std::uint32_t m_attempt = 0;
};

struct EmitToken
{
  // Position of the token in the answer, from 0 without gaps.
  std::size_t m_index = 0;
  std::uint32_t m_token = 0;
  std::string m_text;
};

// Requests a chain. OnChain or OnNoChain gives the answer.
struct NeedChain
{
  std::uint32_t m_attempt = 0;
  // Number of inputs that the new chain has to compute before the next token.
  std::uint32_t m_promptTokens = 0;
  std::uint32_t m_expectedTokens = 0;
  std::vector<std::string> m_excluded;
  // Value for ChainRequest::m_answeredSince.
  TimePoint m_answeredSince;
};

enum class FinishReason
{
  // The model ended the answer.
  End,
  MaxTokens,
  Cancelled,
  DeadlineExceeded,
  NoChain,
  TooManyAttempts,
};

inline constexpr std::array<EnumName<FinishReason>, 6> kFinishReasonNames{ {
  { FinishReason::End, "end" },
  { FinishReason::MaxTokens, "max_tokens" },
  { FinishReason::Cancelled, "cancelled" },
  { FinishReason::DeadlineExceeded, "deadline_exceeded" },
  { FinishReason::NoChain, "no_chain" },
  { FinishReason::TooManyAttempts, "too_many_attempts" },
} };

struct FinishStream
{
  FinishReason m_reason = FinishReason::End;
  // Explanation for people; empty if the whole text was delivered.
  std::string m_text;
};

using StreamAction =
  std::variant<SendStep, SendCancel, EmitToken, NeedChain, FinishStream>;

} // namespace parsleycove
