// The body of a chat completion request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Base/Reason.h"

namespace parsleycove {

enum class ChatRequestError
{
  None,
  Malformed,
};
using ChatRequestReason = Reason<ChatRequestError>;

struct ChatRequest
{
  static constexpr std::uint32_t kDefaultMaxTokens = 256;
  static constexpr std::uint32_t kMaxMaxTokens = 32768;

  std::string m_model;
  // All messages as one text, a line "role: content" for each.
  std::string m_prompt;
  std::uint32_t m_maxTokens = kDefaultMaxTokens;
  std::uint64_t m_seed = 0;
  bool m_isStream = false;

  // Parses the common chat-completions form.
  static std::optional<ChatRequest> Parse(std::string_view aBody,
                                          ChatRequestReason& aReason);
};

} // namespace parsleycove
