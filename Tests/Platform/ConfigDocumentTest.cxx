// Tests decoding of the operator's configuration document.
#include <string>

#include "ConfigDocument.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

const std::string kDocument = R"({"version":7,"routes":[
{"name":"r1","host":"one.example","path-prefix":"/a/","kind":"streaming",
 "timeout-ms":20000,"target-latency-ms":500,"priority":1,
 "traffic-split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
 "max-attempts":2,"allow-anonymous":false,"session-affinity":true,
 "resumable":true,"target-gap-ms":200,"later-field":[1,2]},
{"name":"r2","host":"one.example","path-prefix":"/b/","kind":"unsafe",
 "timeout-ms":1000,"service":"s2"}],
"services":[{"name":"s1","health-path":"/health","max-connections":988,
 "engine":{"layers":80,"layer-mb":1750.0,"kv-token-bytes":426000,
 "step_ms":0.85,"read_per_s":272000.0,
 "kinds":[{"name":"l4","mb":21600.0,"pace":16.0,"read-x":8.2}]}},
 {"name":"s2"}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
 "header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"t1","api-keys":["k1"],"priority":1}]})";

std::string
Replace(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  return aText.replace(aText.find(aFrom), aFrom.size(), aTo);
}

std::string
DecodeError(const std::string& aText)
{
  RoutingReason reason;
  CHECK_FALSE(platform::ConfigDocument().Decode(aText, reason));
  return reason.m_text;
}

} // namespace

TEST_GROUP(ConfigDocument){};

TEST(ConfigDocument, IsReadIntoTheProductsTypes)
{
  RoutingReason reason;
  const auto config = platform::ConfigDocument().Decode(kDocument, reason);
  CHECK(config != nullptr);
  CHECK_EQUAL(7U, config->Version());
  const RouteRule& route = *config->FindRoute("one.example", "/a/x");
  CHECK(route.m_kind == RequestKind::Streaming);
  CHECK(route.m_isResumable);
  CHECK(route.m_timeout == std::chrono::seconds(20));
  CHECK(route.m_gapTarget == std::chrono::milliseconds(200));
  CHECK_EQUAL(2U, route.m_services.size());
  CHECK_EQUAL(90U, route.m_services[0].m_weight);
  CHECK(config->FindRoute("one.example", "/b/")->m_kind == RequestKind::Unsafe);
  const LayeredModel& model = *config->FindService("s1")->m_model;
  CHECK_EQUAL(80U, model.m_layers);
  DOUBLES_EQUAL(16, model.FindKind("l4")->m_stepTimeFactor, 1e-9);
  CHECK_FALSE(config->FindService("s2")->m_model.has_value());
  STRCMP_EQUAL("t1", config->FindAccount("k1")->m_name.c_str());
  CHECK_EQUAL(4194304U, config->Limits().m_maxBodyBytes);
}

TEST(ConfigDocument, CutShortAnywhereItIsRefused)
{
  for (std::size_t size = 0; size < kDocument.size(); size += 7) {
    const std::string error = DecodeError(kDocument.substr(0, size));
    CHECK(error.find("expected") != std::string::npos);
  }
}

TEST(ConfigDocument, NamesTheFieldAtFaultAndWhatWasExpected)
{
  STRCMP_EQUAL(
    "configuration: \"version\": expected a whole number of 0 or more",
    DecodeError(Replace(kDocument, "\"version\":7", "\"version\":\"x\""))
      .c_str());
  STRCMP_EQUAL(
    "routes 1: \"timeout-ms\": expected a whole number of 0 or more",
    DecodeError(Replace(kDocument, "\"timeout-ms\":1000,", "")).c_str());
  STRCMP_EQUAL(
    "routes 0: \"allow-anonymous\": expected true or false",
    DecodeError(
      Replace(kDocument, "\"allow-anonymous\":false", "\"allow-anonymous\":3"))
      .c_str());
  STRCMP_EQUAL(
    "configuration: \"routes\": expected a list",
    DecodeError(R"({"version":1,"routes":{},"services":[]})").c_str());
}

TEST(ConfigDocument, RulesOfTheProductHold)
{
  CHECK(DecodeError(
          Replace(kDocument, "\"service\":\"s2\"}]", "\"service\":\"x\"}]"))
          .find("is unknown") != std::string::npos);
  CHECK(
    DecodeError(Replace(kDocument, "\"timeout-ms\":1000", "\"timeout-ms\":0"))
      .find("time-out is 0") != std::string::npos);
}

TEST(ConfigDocument, AKindThatIsNotKnownIsNeverRepeated)
{
  RoutingReason reason;
  const auto config = platform::ConfigDocument().Decode(
    Replace(kDocument, "\"kind\":\"unsafe\"", "\"kind\":\"later\""), reason);
  CHECK_FALSE(config->FindRoute("one.example", "/b/")->CanRetry());
}

TEST(ConfigDocument, WithoutTenantsNoKeyIsNeeded)
{
  RoutingReason reason;
  const auto config = platform::ConfigDocument().Decode(
    R"({"version":1,"routes":[],"services":[]})", reason);
  CHECK_FALSE(config->HasAccounts());
}

TEST(ConfigDocument, SizesOfReadingAreOptional)
{
  RoutingReason reason;
  const auto bare = platform::ConfigDocument().Decode(kDocument, reason);
  const LayeredModel& none = *bare->FindService("s1")->m_model;
  DOUBLES_EQUAL(0, none.m_chunkTokens, 0);
  DOUBLES_EQUAL(1, none.m_stepsPerPass, 0);
  DOUBLES_EQUAL(0, none.m_usualPromptTokens, 0);
  const auto full = platform::ConfigDocument().Decode(
    Replace(kDocument,
            R"("step_ms":0.85,)",
            R"("step_ms":0.85,"chunk":512,"stride":3,"pairs_per_m":0.11,)"
            R"("usual":{"prompt":760,"answer":145},)"),
    reason);
  CHECK(full != nullptr);
  const LayeredModel& model = *full->FindService("s1")->m_model;
  DOUBLES_EQUAL(512, model.m_chunkTokens, 0);
  DOUBLES_EQUAL(3, model.m_stepsPerPass, 0);
  DOUBLES_EQUAL(0.11, model.m_pairsMsPerMillion, 1e-9);
  DOUBLES_EQUAL(760, model.m_usualPromptTokens, 0);
  DOUBLES_EQUAL(145, model.m_usualAnswerTokens, 0);
}

TEST(ConfigDocument, MoreValuesThanItsBoundAreRefused)
{
  std::string list;
  for (int i = 0; i < 500'000; ++i) {
    list += "[],";
  }
  const std::string field = "\"later-field\":[" + list + "0,";
  const std::string error =
    DecodeError(Replace(kDocument, "\"later-field\":[", field));
  CHECK_TEXT(error.starts_with("configuration: has "), error.c_str());
  CHECK_TEXT(error.ends_with(" values, expected at most 500000"),
             error.c_str());
  // What looks like values within a text is none.
  std::string text;
  for (int i = 0; i < 200'000; ++i) {
    text += R"(,[{\")";
  }
  RoutingReason reason;
  const auto config = platform::ConfigDocument().Decode(
    Replace(kDocument,
            "\"later-field\":[",
            "\"later-text\":\"" + text + "\",\"later-field\":["),
    reason);
  CHECK_TEXT(config != nullptr, reason.m_text.c_str());
}

TEST(ConfigDocument, LargeConfigurationsAreWithinTheBounds)
{
  std::string routes;
  for (int i = 0; i < 20'000; ++i) {
    routes += R"({"name":"r","host":"one.example","path-prefix":"/p)" +
              std::to_string(i) +
              R"(/","kind":"safe","timeout-ms":1000,"service":"s2",)"
              R"("traffic-split":[{"service":"s1","weight":90},)"
              R"({"service":"s2","weight":10}],"max-attempts":2,)"
              R"("allow-anonymous":false,"session-affinity":true},)";
  }
  RoutingReason reason;
  const auto config = platform::ConfigDocument().Decode(
    Replace(kDocument, "\"routes\":[", "\"routes\":[" + routes), reason);
  CHECK_TEXT(config != nullptr, reason.m_text.c_str());
  CHECK_EQUAL(20'002U, config->Routes().size());
}
