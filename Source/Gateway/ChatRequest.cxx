// The body of a chat completion request.
#include "Gateway/ChatRequest.h"

#include <boost/json.hpp>

namespace parsleycove {

namespace json = boost::json;

namespace {

std::optional<std::string>
FindText(const json::object& aObject, std::string_view aKey)
{
  const json::value* value = aObject.if_contains(aKey);
  if (!value || !value->is_string()) {
    return std::nullopt;
  }
  return std::string(value->get_string());
}

bool
ReadMessages(const json::object& aBody, std::string& aPrompt)
{
  const json::value* messages = aBody.if_contains("messages");
  if (!messages || !messages->is_array() || messages->get_array().empty()) {
    return false;
  }
  for (const json::value& message : messages->get_array()) {
    if (!message.is_object()) {
      return false;
    }
    const auto role = FindText(message.get_object(), "role");
    const auto content = FindText(message.get_object(), "content");
    if (!role || !content) {
      return false;
    }
    aPrompt += *role + ": " + *content + "\n";
  }
  return true;
}

// Reads an optional whole number; false when it is there but not within range.
template<typename Number>
bool
ReadNumber(const json::object& aBody,
           std::string_view aKey,
           Number aLowest,
           Number aHighest,
           Number& aNumber)
{
  const json::value* value = aBody.if_contains(aKey);
  if (!value || value->is_null()) {
    return true;
  }
  json::error_code error;
  const auto number = value->to_number<Number>(error);
  if (error || number < aLowest || number > aHighest) {
    return false;
  }
  aNumber = number;
  return true;
}

} // namespace

std::optional<ChatRequest>
ChatRequest::Parse(std::string_view aBody, ChatRequestReason& aReason)
{
  const auto fail = [&aReason](std::string aText) {
    aReason.Set(ChatRequestError::Malformed, std::move(aText));
    return std::nullopt;
  };
  json::error_code error;
  const json::value document =
    json::parse(json::string_view(aBody.data(), aBody.size()), error);
  if (error || !document.is_object()) {
    return fail("the body is not a JSON object");
  }
  const json::object& body = document.get_object();
  ChatRequest request;
  const auto model = FindText(body, "model");
  if (!model || model->empty()) {
    return fail("model: expected the name of a model");
  }
  request.m_model = *model;
  if (!ReadMessages(body, request.m_prompt)) {
    return fail("messages: expected a list of objects with the texts role "
                "and content, at least one");
  }
  if (!ReadNumber<std::uint32_t>(
        body, "max_tokens", 1, kMaxMaxTokens, request.m_maxTokens)) {
    return fail("max_tokens: expected a whole number from 1 to " +
                std::to_string(kMaxMaxTokens));
  }
  if (!ReadNumber<std::uint64_t>(body, "seed", 0, UINT64_MAX, request.m_seed)) {
    return fail("seed: expected a whole number that is not negative");
  }
  if (const json::value* stream = body.if_contains("stream")) {
    if (!stream->is_bool()) {
      return fail("stream: expected true or false");
    }
    request.m_isStream = stream->get_bool();
  }
  return request;
}

} // namespace parsleycove
