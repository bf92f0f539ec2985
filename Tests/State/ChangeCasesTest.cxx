// Runs the cases of the folder Cases: a change, its expected code and text.
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "State/Commands.h"
#include "State/ConfigJson.h"
#include "State/ConfigState.h"
#include "State/StateNames.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;

namespace {

constexpr std::size_t kMinCases = 40;

std::string
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

void
Prepare(ConfigState& aConfig, const boost::json::object& aCase)
{
  std::uint64_t index = 0;
  if (const auto* base = aCase.if_contains("base")) {
    const auto result = aConfig.Apply(
      ++index, MakeChange("base", 0, boost::json::serialize(*base)));
    STRCMP_EQUAL("", result.text.c_str());
  }
  if (const auto* endpoints = aCase.if_contains("endpoints")) {
    for (const auto& endpoint : endpoints->as_array()) {
      StateReason reason;
      const auto parsed =
        ParseEndpoint(boost::json::serialize(endpoint), reason);
      CHECK_TEXT(parsed.has_value(), reason.m_text.c_str());
      const auto result = aConfig.Apply(++index, MakeAnnounce(*parsed));
      STRCMP_EQUAL("", result.text.c_str());
    }
  }
}

void
RunCase(const std::filesystem::path& aPath)
{
  const auto parsed = boost::json::parse(ReadFile(aPath));
  const boost::json::object& object = parsed.as_object();
  const std::string code(object.at("code").as_string());
  const std::string text(object.at("text").as_string());
  const std::string change = boost::json::serialize(object.at("change"));
  const std::string name = aPath.filename().string();
  if (code == "malformed") {
    StateReason reason;
    CHECK_FALSE_TEXT(ParseConfigChange(change, reason).has_value(),
                     name.c_str());
    CHECK_TRUE(StateError::Malformed == reason.m_code);
    STRCMP_EQUAL_TEXT(text.c_str(), reason.m_text.c_str(), name.c_str());
    return;
  }
  ConfigState config;
  Prepare(config, object);
  const std::string before = PackConfig(config.Image());
  const std::uint64_t revision = config.Image().revision;
  const std::uint64_t index = config.Image().index;
  const auto result =
    config.Apply(index + 1, MakeChange("case", revision, change));
  const std::string shown(NameOf(kResultCodeNames, result.code));
  STRCMP_EQUAL_TEXT(code.c_str(), shown.c_str(), name.c_str());
  STRCMP_EQUAL_TEXT(text.c_str(), result.text.c_str(), name.c_str());
  // All or nothing: but for its index the image is untouched by a refusal.
  state::ConfigImageT after = config.Image();
  after.index = index;
  CHECK_EQUAL_TEXT(code != "ok", PackConfig(after) == before, name.c_str());
}

} // namespace

TEST_GROUP(ChangeCases){};

TEST(ChangeCases, EachCaseGivesItsCodeAndText)
{
  std::size_t count = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(PARSLEYCOVE_CASES)) {
    RunCase(entry.path());
    ++count;
  }
  CHECK(count >= kMinCases);
}
