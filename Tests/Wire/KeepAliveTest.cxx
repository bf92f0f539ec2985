// Tests of reading the Keep-Alive field.
#include "Wire/KeepAlive.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

TEST_GROUP(KeepAlive){};

// Guards against a connection that is used again after its end, since the limit
// is written with capitals.
TEST(KeepAlive, ItsLimitIsReadInAnySpelling)
{
  for (const char* const field : { "timeout=5",
                                   "Timeout=5",
                                   "TIMEOUT = 5",
                                   "max=100, Timeout=5",
                                   "timeout=5;later",
                                   "timeout=x, timeout=5" }) {
    const auto limit = ReadIdleLimit(field);
    CHECK_TEXT(limit == std::chrono::seconds(5), field);
  }
}

TEST(KeepAlive, AFieldWithoutALimitHasNone)
{
  for (const char* const field : { "",
                                   ",",
                                   "max=100",
                                   "timeout",
                                   "timeout=",
                                   "timeout=-1",
                                   "xtimeout=5" }) {
    CHECK_TEXT(!ReadIdleLimit(field).has_value(), field);
  }
}
