// Tests of answers whose head is malformed, cut off or not the final one.
#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

// clang-format off
TEST_GROUP(AnswerHead)
{
  std::unique_ptr<ForwardFixture> m_fixture;
  int m_calls = 0;

  void teardown() override { m_fixture.reset(); }

  // Starts two plain endpoints and two engines. The first request is answered
  // by the status line, fields that belong to the request and aRest, later
  // requests completely.
  void Start(const std::string& aStatusLine, const std::string& aRest)
  {
    m_fixture = std::make_unique<ForwardFixture>();
    m_fixture->PutConfig();
    m_calls = 0;
    for (const bool isEngine : { false, false, true, true }) {
      StubEndpoint& endpoint = isEngine ? m_fixture->AddEngine(0, 4)
                                        : m_fixture->AddPlainEndpoint();
      endpoint.SetScript(WithEngineState(
        [this, isEngine, aStatusLine, aRest](const HttpRequest& aRequest) {
          const std::string id = AttemptIdOf(aRequest);
          if (++m_calls == 1) {
            return std::vector<StubStep>{
              Send(aStatusLine + "\r\nResponse-Signature: s1\r\nAttempt-Id: " +=
                   id + "\r\n" += aRest),
              CloseNow()
            };
          }
          return isEngine ? StreamAll(aRequest)
                          : std::vector<StubStep>{ Send(
                              MakeAnswer(id, 200, "done")) };
        }));
    }
    m_fixture->Start();
  }
  std::string Ask(const char* aPath)
  {
    return m_fixture->SendRequest("POST", aPath, kStreamHeader, "b");
  }
  // Checks that an answer is passed on to no caller.
  void CheckBroken(const std::string& aStatusLine, const std::string& aRest)
  {
    for (const char* path : { "/unsafe/x", "/once/x" }) {
      Start(aStatusLine, aRest);
      const std::string answer = Ask(path);
      CHECK_EQUAL_TEXT(502, StatusOf(answer), (aStatusLine + aRest).c_str());
      CHECK(answer.find("X-Odd") == std::string::npos);
      CHECK_EQUAL(1, m_calls);
    }
    for (const char* path : { "/safe/x", "/stream/x" }) {
      Start(aStatusLine, aRest);
      CHECK_EQUAL_TEXT(200, StatusOf(Ask(path)), (aStatusLine + aRest).c_str());
      CHECK_EQUAL(2, m_calls);
    }
  }
};
// clang-format on

TEST(AnswerHead, AStatusThatHttpDoesNotKnowIsNotPassedOn)
{
  for (const char* status : { "000", "099", "101", "600", "999" }) {
    CheckBroken(std::string("HTTP/1.1 ") + status + " Any",
                "Content-Length: 0\r\n\r\n");
  }
}

TEST(AnswerHead, AFieldWhoseNameIsNoTokenIsNotPassedOn)
{
  for (const char* name : { " X-Odd", "\tX-Odd", "X Odd", "X-Odd ", "X\x01" }) {
    CheckBroken("HTTP/1.1 200 OK",
                std::string(name) + ": b\r\nContent-Length: 0\r\n\r\n");
  }
}

TEST(AnswerHead, ABodyWhoseLengthIsHiddenIsNotPassedOn)
{
  for (const char* field : { " Content-Length: 2",
                             "Transfer-Encoding: gzip",
                             "Transfer-Encoding: gzip, chunked" }) {
    CheckBroken("HTTP/1.1 200 OK",
                std::string(field) + "\r\n\r\n2\r\n\n\n\r\n0\r\n\r\n");
  }
}

TEST(AnswerHead, AHeadThatStopsBeforeItsEndIsNotPassedOn)
{
  for (const char* rest : { "", "Content-Length: 0\r\n", "X-Odd", "\r" }) {
    CheckBroken("HTTP/1.1 200 OK", rest);
  }
}

TEST(AnswerHead, AnInterimAnswerIsNotTheAnswer)
{
  const std::string done = "\r\nHTTP/1.1 103 Early Hints\r\nX-Odd: b\r\n\r\n";
  Start("HTTP/1.1 100 Continue", done + MakeAnswer("a1", 500, "failed"));
  const std::string answer = Ask("/unsafe/x");
  CHECK_EQUAL(500, StatusOf(answer));
  CHECK(answer.ends_with("\r\n\r\nfailed"));
  CHECK(answer.find("X-Odd") == std::string::npos);
}

TEST(AnswerHead, AFieldThatAnyConnectionFieldNamesIsNotPassedOn)
{
  Start("HTTP/1.1 200 OK",
        "Connection: keep-alive\r\nConnection: , x-other, X-ODD\r\n"
        "X-Odd: b\r\nX-Even: c\r\nContent-Length: 4\r\n\r\ndone");
  const std::string answer = Ask("/unsafe/x");
  CHECK_EQUAL(200, StatusOf(answer));
  CHECK(answer.find("X-Even: c") != std::string::npos);
  CHECK(answer.find("X-Odd") == std::string::npos);
}

TEST(AnswerHead, AHeadOfTooManyFieldsIsNotPassedOn)
{
  const std::string end = "X-Odd: b\r\nContent-Length: 0\r\n\r\n";
  std::string fields;
  for (int i = 0; i < 1018; ++i) {
    fields += "a:\r\n";
  }
  Start("HTTP/1.1 200 OK", fields + end);
  CHECK_EQUAL(200, StatusOf(Ask("/unsafe/x")));
  CHECK_EQUAL(1, m_calls);
  CheckBroken("HTTP/1.1 200 OK", fields + "a:\r\na:\r\na:\r\n" + end);
}
