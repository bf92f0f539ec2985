// Tests of the JSON form of pipeline steps.
#include "Gateway/EngineCodec.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

StepCall
MakeCall(const std::string& aStream, std::uint32_t aPosition)
{
  StepCall call;
  call.m_stream = aStream;
  call.m_step.m_attempt = 2;
  call.m_step.m_position = aPosition;
  call.m_step.m_count = 1;
  call.m_step.m_hidden = "[18446744073709551615]";
  return call;
}

} // namespace

TEST_GROUP(EngineCodec)
{
  StepCall m_first = MakeCall("a", 4);
  StepCall m_second = MakeCall("b", 0);
  EngineCodecReason m_reason;

  std::optional<std::vector<StepAnswer>> Parse(const std::string& aBody)
  {
    return ParseStepResults(aBody, { &m_first, &m_second }, m_reason);
  }
};

TEST(EngineCodec, PassesActivationsThroughUnchanged)
{
  const std::string text = PrintSteps({ &m_first });
  STRCMP_CONTAINS("\"hidden\":[18446744073709551615]", text.c_str());
}

TEST(EngineCodec, MatchesResultsInAnyOrder)
{
  const auto answers = Parse(
    R"({"load":{"queued":3,"running":2},"results":[
      {"stream":"b","attempt":2,"position":0,"status":"gap","expected":4},
      {"stream":"a","attempt":2,"position":4,"status":"ok","hidden":[7]}]})");
  CHECK(answers.has_value());
  STRCMP_EQUAL("[7]", (*answers)[0].m_result.m_hidden.c_str());
  CHECK((*answers)[1].m_result.m_status == StepStatus::Gap);
  CHECK_EQUAL(3, (*answers)[1].m_queued);
}

TEST(EngineCodec, RefusesAnswersThatLackAStep)
{
  for (const char* body :
       { "",
         "{}",
         R"({"results":[]})",
         R"({"results":[{"stream":"a","attempt":2,"position":4,
                         "status":"ok","hidden":[7]}]})",
         R"({"results":[{"stream":"a","attempt":1,"position":4,
                         "status":"ok","hidden":[7]},
                        {"stream":"b","attempt":2,"position":0,
                         "status":"ok","hidden":[7]}]})",
         R"({"results":[{"stream":"a","attempt":2,"position":4,
                         "status":"ok"},
                        {"stream":"b","attempt":2,"position":0,
                         "status":"ok","hidden":[7]}]})" }) {
    m_reason = {};
    CHECK_FALSE(Parse(body).has_value());
    CHECK(m_reason.m_code == EngineCodecError::Malformed);
  }
}
