// Tests of the identity of requests.
#include "Base/RequestIdentity.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

// clang-format off
TEST_GROUP(RequestIdentity) {};
// clang-format on

TEST(RequestIdentity, DiffersInEachFieldAndNowhereElse)
{
  const RequestContent usual{
    "POST", "h", "/a/b", "account-1", "1f:20", "body"
  };
  const std::string id = IdentifyRequest(usual);
  CHECK(id == IdentifyRequest(usual));
  CHECK(IsWholeRequest(id));
  CHECK_FALSE(IsWholeRequest("5c1e07a2"));
  for (const RequestContent& other : {
         RequestContent{ "GET", "h", "/a/b", "account-1", "1f:20", "body" },
         RequestContent{ "POST", "g", "/a/b", "account-1", "1f:20", "body" },
         RequestContent{ "POST", "h", "/a/c", "account-1", "1f:20", "body" },
         RequestContent{ "POST", "h", "/a/b", "account-2", "1f:20", "body" },
         RequestContent{ "POST", "h", "/a/b", "account-1", "1f:20", "bodies" },
         RequestContent{ "POST", "h", "/a/baccount-1", "", "1f:20", "body" },
         RequestContent{ "POST", "h", "/a/b", "account-1", "2e:20", "body" },
         RequestContent{ "POST", "h/a", "/b", "account-1", "1f:20", "body" },
       }) {
    CHECK(id != IdentifyRequest(other));
  }
}

// Guards against a quarantine that a caller gets around by the spelling of the
// host.
TEST(RequestIdentity, IsEqualForAHostInAnySpelling)
{
  const RequestContent usual{ "GET", "one.example", "/a", "", "", "" };
  for (const char* const host : { "One.Example", "one.example:8080" }) {
    const RequestContent other{ "GET", host, "/a", "", "", "" };
    CHECK(IdentifyRequest(usual) == IdentifyRequest(other));
  }
}
