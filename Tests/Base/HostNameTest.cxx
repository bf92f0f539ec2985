// Tests in which form hosts are compared.
#include "Base/HostName.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

TEST_GROUP(HostName){};

TEST(HostName, IsComparedWithoutItsCaseAndItsPort)
{
  STRCMP_EQUAL("one.example", NormalizeHost("one.example").c_str());
  STRCMP_EQUAL("one.example", NormalizeHost("One.EXAMPLE").c_str());
  STRCMP_EQUAL("one.example", NormalizeHost("One.example:8080").c_str());
  STRCMP_EQUAL("", NormalizeHost("").c_str());
  STRCMP_EQUAL("", NormalizeHost(":8080").c_str());
}

TEST(HostName, AnIpNumberKeepsItsColons)
{
  STRCMP_EQUAL("10.0.0.1", NormalizeHost("10.0.0.1:8080").c_str());
  STRCMP_EQUAL("[fd00::1]", NormalizeHost("[FD00::1]:8080").c_str());
  STRCMP_EQUAL("[fd00::2]", NormalizeHost("[fd00::2]").c_str());
  // Without its end it is no number.
  STRCMP_EQUAL("[fd00", NormalizeHost("[fd00::2").c_str());
}
