// Tests of W3C trace context.
#include "Telemetry/TraceContext.h"

#include <CppUTest/TestHarness.h>

using parsleycove::TraceContext;

namespace {

constexpr const char* kHeader =
  "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

} // namespace

TEST_GROUP(TraceContext){};

TEST(TraceContext, RoundTripKeepsTraceAndSpan)
{
  const auto context = TraceContext::Parse(kHeader);
  CHECK(context.has_value());
  STRCMP_EQUAL(kHeader, context->ToHeader().c_str());
}

TEST(TraceContext, ChildStaysInTheTraceWithASpanOfItsOwn)
{
  const auto parent = TraceContext::Parse(kHeader);
  const TraceContext child = parent->CreateChild();
  STRCMP_EQUAL(parent->m_traceId.c_str(), child.m_traceId.c_str());
  CHECK(parent->m_spanId != child.m_spanId);
  CHECK(TraceContext::Parse(child.ToHeader()).has_value());
}

TEST(TraceContext, RefusesMalformedHeaders)
{
  for (const char* text :
       { "",
         "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
         "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
         "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
         "00-00000000000000000000000000000000-b7ad6b7169203331-01",
         "00-0af7651916cd43dd8448eb211c80319c_b7ad6b7169203331-01" }) {
    CHECK_FALSE(TraceContext::Parse(text).has_value());
  }
}
