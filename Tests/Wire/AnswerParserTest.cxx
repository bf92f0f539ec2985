// Tests of the parser of answers: malformed and sound heads and trailers.
#include "Wire/AnswerParser.h"

#include <algorithm>
#include <string>
#include <string_view>

#include <boost/beast/http/string_body.hpp>

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace std::string_literals;

namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\n";
const std::string kEnd = "Content-Length: 2\r\n\r\nok";
const std::string kChunkedHead =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// clang-format off
TEST_GROUP(AnswerParser)
{
  StringAnswerParser& Start()
  {
    m_parser.emplace();
    m_parser->eager(true);
    return *m_parser;
  }
  // Parses the bytes in steps of aStep, and the end of their connection.
  // Returns false if they are not one whole answer.
  bool Parse(const std::string& aBytes, std::size_t aStep)
  {
    StringAnswerParser& parser = Start();
    std::size_t used = 0;
    beast::error_code error;
    for (std::size_t end = aStep; !parser.is_done(); end += aStep) {
      const std::size_t arrived = std::min(end, aBytes.size());
      while (!error && used < arrived && !parser.is_done()) {
        used += parser.put(asio::buffer(aBytes.data() + used, arrived - used),
                           error);
      }
      if (error && error != http::error::need_more) {
        return false;
      }
      error = {};
      if (end >= aBytes.size()) {
        break;
      }
    }
    if (!parser.is_done() && parser.got_some()) {
      parser.put_eof(error);
    }
    return !error && parser.is_done();
  }
  void CheckMalformed(const std::string& aBytes)
  {
    CHECK_FALSE_TEXT(Parse(aBytes, aBytes.size()), aBytes.c_str());
    CHECK_FALSE_TEXT(Parse(aBytes, 1), aBytes.c_str());
  }
  void CheckSound(const std::string& aBytes, std::string_view aBody = "ok")
  {
    for (const std::size_t step : { aBytes.size(), std::size_t{ 1 } }) {
      CHECK_TEXT(Parse(aBytes, step), aBytes.c_str());
      CHECK(m_parser->get().body() == aBody);
    }
  }

  std::optional<StringAnswerParser> m_parser;
};
// clang-format on

TEST(AnswerParser, AStatusThatHttpDoesNotKnowIsMalformed)
{
  for (const char* status :
       { "000", "099", "600", "999", "20", "2000", "2x0", "-20", "101" }) {
    CheckMalformed("HTTP/1.1 "s + status + " OK\r\n" + kEnd);
  }
  for (const char* status : { "200", "204", "304", "404", "599" }) {
    const bool hasBody = status != "204"s && status != "304"s;
    CheckSound("HTTP/1.1 "s + status + " \r\n" + kEnd, hasBody ? "ok" : "");
  }
}

TEST(AnswerParser, AVersionThatIsNotSpokenIsMalformed)
{
  for (const char* version : { "HTTP/2.0", "HTTP/0.9", "http/1.1", "ICY" }) {
    CheckMalformed(version + " 200 OK\r\n"s + kEnd);
  }
  CheckSound("HTTP/1.0 200 OK\r\n" + kEnd);
}

TEST(AnswerParser, AFieldWhoseNameIsNoTokenIsMalformed)
{
  for (const std::string& name : { "X A"s,
                                   "X-A "s,
                                   "X-A\t"s,
                                   " X-A"s,
                                   "\tX-A"s,
                                   ""s,
                                   "X\x01"s,
                                   "X\0A"s,
                                   "X\x7f"s,
                                   "X\x80"s,
                                   "X\rA"s,
                                   "X(A)"s }) {
    const std::string field = name + ": b\r\n";
    CheckMalformed(kHead + field += kEnd);
    CheckMalformed(kHead + "X-B: c\r\n" += field + kEnd);
    CheckMalformed(kHead + "X-B:\r\n" += field + kEnd);
    CheckMalformed(kChunkedHead + "2\r\nok\r\n0\r\nX-B: c\r\n" +=
                   field + "\r\n");
  }
}

TEST(AnswerParser, AFoldedLengthIsMalformed)
{
  CheckMalformed("HTTP/1.1 200 OK\r\nX-B: c\r\n " + kEnd);
  CheckMalformed("HTTP/1.1 200 OK\r\nX-B: \r\n\t\r\n" + kEnd);
  CheckMalformed("HTTP/1.1 200 OK\r\nContent-Length:\r\n 2\r\n\r\nok");
}

TEST(AnswerParser, AControlByteInAValueIsMalformed)
{
  for (const std::string& value : { "b\rc"s, "b\nc"s, "b\0c"s, "b\x7f"s }) {
    CheckMalformed(kHead + "X-A: " += value + "\r\n" += kEnd);
  }
  for (const char* value :
       { "", " ", " \t b \t ", "b", "b  c", "\xc3\xa4", "a:b" }) {
    CheckSound("HTTP/1.1 200 OK\r\nX-A:"s + value + "\r\n" + kEnd);
  }
}

TEST(AnswerParser, ALengthThatIsNotClearIsMalformed)
{
  for (const char* fields : { "Content-Length: 3\r\n",
                              "Content-Length: 2, 3\r\n",
                              "Content-Length: +2\r\n",
                              "Content-Length: 0x2\r\n",
                              "Content-Length:\r\n",
                              "Content-Length: 99999999999999999999\r\n",
                              "Transfer-Encoding: chunked\r\n",
                              "Transfer-Encoding: gzip\r\n" }) {
    CheckMalformed("HTTP/1.1 200 OK\r\n"s + fields + kEnd);
  }
  CheckMalformed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
  CheckSound("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + kEnd);
}

TEST(AnswerParser, ATransferCodingOtherThanChunkedIsMalformed)
{
  const std::string body = "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
  for (const char* coding : { "gzip",
                              "identity",
                              "gzip, chunked",
                              "chunked, gzip",
                              "chunked, chunked",
                              "xchunked",
                              "" }) {
    CheckMalformed("HTTP/1.1 200 OK\r\nTransfer-Encoding: "s + coding + body);
  }
  CheckMalformed("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked" + body);
  CheckSound("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked" + body);
  CheckSound("HTTP/1.1 200 OK\r\ntransfer-encoding:Chunked" + body);
}

TEST(AnswerParser, ATrailerIsNoFieldOfTheHead)
{
  CheckSound(kChunkedHead +
             "2;name=value\r\nok\r\n0\r\nX-A: b\r\nNot-Executed: 1\r\n\r\n");
  CHECK_EQUAL(0U, m_parser->get().count("X-A"));
  CHECK_EQUAL(0U, m_parser->get().count("Not-Executed"));
}

TEST(AnswerParser, AnAnswerThatStopsBeforeItsEndIsNotWhole)
{
  for (const std::string& answer :
       { "HTTP/1.1 200 OK\r\nX-A: b\r\n" + kEnd,
         kChunkedHead + "2\r\nok\r\n0\r\nX-A: b\r\n\r\n" }) {
    for (std::size_t size = 1; size < answer.size(); ++size) {
      CheckMalformed(answer.substr(0, size));
    }
    CheckSound(answer);
  }
}
