// Tests of parsing IP numbers with ports.
#include "Base/SocketAddress.h"

#include <CppUTest/TestHarness.h>

using parsleycove::SocketAddress;

TEST_GROUP(SocketAddress){};

TEST(SocketAddress, ParsesBothFamilies)
{
  const auto v4 = SocketAddress::Parse("127.0.0.1:7000");
  CHECK(v4.has_value());
  CHECK_EQUAL(7000, v4->m_port);
  const auto v6 = SocketAddress::Parse("[::1]:7000");
  CHECK(v6.has_value());
  STRCMP_EQUAL("[::1]:7000", v6->ToString().c_str());
}

// Guards against a VM that does not find itself among the founders or the
// seeds.
TEST(SocketAddress, SpellingsOfOneNumberAreEqual)
{
  const auto usual = SocketAddress::Parse("[fd00::1]:7000");
  for (const char* const text : { "[FD00::1]:7000", "[fd00:0:0::0:1]:7000" }) {
    CHECK_TEXT(SocketAddress::Parse(text) == usual, text);
  }
}

TEST(SocketAddress, RefusesNamesAndBadPorts)
{
  for (const char* text : { "localhost:70",
                            "127.0.0.1",
                            "127.0.0.1:",
                            "127.0.0.1:70000",
                            "127.0.0.1:7x",
                            "::1:70",
                            "" }) {
    CHECK_FALSE(SocketAddress::Parse(text).has_value());
  }
}
