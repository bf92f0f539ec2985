// Tests of keeping and writing spans.
#include "Telemetry/SpanStore.h"

#include <cstdio>
#include <fstream>
#include <iterator>

#include <unistd.h>

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

Span
MakeSpan(const std::string& aTrace, const std::string& aName)
{
  Span span;
  span.m_traceId = aTrace;
  span.m_spanId = "b7ad6b7169203331";
  span.m_name = aName;
  span.m_startUnixUs = 1000;
  span.m_durationUs = 5;
  span.m_attributes = { { "endpoint", "e1" } };
  return span;
}

} // namespace

TEST_GROUP(SpanStore){};

TEST(SpanStore, FindsTheSpansOfOneTrace)
{
  SpanStore store("vm1", "", 1000);
  store.Add({ MakeSpan("t1", "a"), MakeSpan("t1", "b") });
  store.Add({ MakeSpan("t2", "c") });
  CHECK_EQUAL(2, store.Find("t1").size());
  CHECK_EQUAL(0, store.Find("t3").size());
}

TEST(SpanStore, DropsTheOldestBeyondItsCapacity)
{
  SpanStore store("vm1", "", 16);
  store.Add({ MakeSpan("t", "a"), MakeSpan("t", "b"), MakeSpan("t", "c") });
  const auto spans = store.Find("t");
  CHECK_EQUAL(1, spans.size());
  STRCMP_EQUAL("c", spans.front().m_name.c_str());
}

TEST(SpanStore, WritesOtlpJsonLines)
{
  char path[] = "/tmp/parsleycove-spans-XXXXXX";
  close(mkstemp(path));
  {
    SpanStore store("vm1", path, 16);
    store.Add({ MakeSpan("t", "a") });
  }
  std::ifstream file(path);
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  std::remove(path);
  const auto line = boost::json::parse(text);
  const auto& spans = line.at_pointer("/resourceSpans/0/scopeSpans/0/spans");
  STRCMP_EQUAL("a", spans.at(0).at("name").as_string().c_str());
  STRCMP_EQUAL("1005000",
               spans.at(0).at("endTimeUnixNano").as_string().c_str());
}
