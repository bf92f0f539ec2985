// Tests of the chat completion form.
#include "Gateway/ChatRequest.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

TEST_GROUP(ChatRequest){};

TEST(ChatRequest, TakesTheCommonForm)
{
  ChatRequestReason reason;
  const auto request = ChatRequest::Parse(
    R"({"model":"ice","stream":true,"seed":3,"max_tokens":5,"temperature":0.2,
        "messages":[{"role":"system","content":"Be brief."},
                    {"role":"user","content":"Kara?"}]})",
    reason);
  CHECK(request.has_value());
  STRCMP_EQUAL("system: Be brief.\nuser: Kara?\n", request->m_prompt.c_str());
  CHECK(request->m_isStream);
  CHECK_EQUAL(3, request->m_seed);
  CHECK_EQUAL(5, request->m_maxTokens);
}

TEST(ChatRequest, RefusesMessagesOfAnotherShape)
{
  for (const char* messages : { "[]",
                                "[1]",
                                R"([{"role":"user"}])",
                                R"([{"role":"user","content":7}])",
                                R"("text")" }) {
    ChatRequestReason reason;
    const std::string body =
      std::string(R"({"model":"ice","messages":)") + messages + "}";
    CHECK_FALSE(ChatRequest::Parse(body, reason).has_value());
    STRCMP_CONTAINS("messages: expected", reason.m_text.c_str());
  }
}
