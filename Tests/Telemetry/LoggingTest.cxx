// Tests of structured logs.
#include "Telemetry/Logging.h"

#include <cstdio>
#include <fstream>
#include <string>

#include <unistd.h>

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

TEST_GROUP(Logging){};

TEST(Logging, WritesOneJsonObjectPerLineAboveTheLevel)
{
  char path[] = "/tmp/parsleycove-log-XXXXXX";
  close(mkstemp(path));
  OpenLog(LogLevel::Info, path, "vm1");
  Log(LogLevel::Debug, "not this one");
  Log(LogLevel::Warning, "slow \"disk\"", { { "ms", "12" } });
  OpenLog(LogLevel::Error, "", "vm1");
  std::ifstream file(path);
  std::string line;
  CHECK(static_cast<bool>(std::getline(file, line)));
  std::string rest;
  CHECK_FALSE(static_cast<bool>(std::getline(file, rest)));
  std::remove(path);
  const auto fields = boost::json::parse(line);
  STRCMP_EQUAL("slow \"disk\"", fields.at("message").as_string().c_str());
  STRCMP_EQUAL("WARN", fields.at("level").as_string().c_str());
  const auto& context = fields.at("context_map");
  STRCMP_EQUAL("12", context.at("ms").as_string().c_str());
  STRCMP_EQUAL("vm1", context.at("vm").as_string().c_str());
}

TEST(Logging, KnowsItsLevelNames)
{
  CHECK(ParseLogLevel("warning") == LogLevel::Warning);
  CHECK_FALSE(ParseLogLevel("loud").has_value());
}
