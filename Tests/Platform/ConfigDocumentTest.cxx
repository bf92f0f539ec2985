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

boost::intrusive_ptr<const RoutingConfig>
Decode(const std::string& aText,
       RoutingReason& aReason,
       DocumentOrigin aOrigin = DocumentOrigin::Offered)
{
  return platform::ConfigDocument().Decode(aText, aReason, aOrigin);
}

std::string
DecodeError(const std::string& aText)
{
  RoutingReason reason;
  CHECK_FALSE(Decode(aText, reason));
  return reason.m_text;
}

} // namespace

TEST_GROUP(ConfigDocument){};

TEST(ConfigDocument, IsReadIntoTheProductsTypes)
{
  RoutingReason reason;
  const auto config = Decode(kDocument, reason);
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
  const auto config = Decode(
    Replace(kDocument, "\"kind\":\"unsafe\"", "\"kind\":\"later\""), reason);
  CHECK_FALSE(config->FindRoute("one.example", "/b/")->CanRetry());
}

TEST(ConfigDocument, WithoutTenantsNoKeyIsNeeded)
{
  RoutingReason reason;
  const auto config =
    Decode(R"({"version":1,"routes":[],"services":[]})", reason);
  CHECK_FALSE(config->HasAccounts());
}

TEST(ConfigDocument, SizesOfReadingAreOptional)
{
  RoutingReason reason;
  const auto bare = Decode(kDocument, reason);
  const LayeredModel& none = *bare->FindService("s1")->m_model;
  DOUBLES_EQUAL(0, none.m_chunkTokens, 0);
  DOUBLES_EQUAL(1, none.m_stepsPerPass, 0);
  DOUBLES_EQUAL(0, none.m_usualPromptTokens, 0);
  const auto full = Decode(
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

TEST(ConfigDocument, EachNumberHasItsBounds)
{
  struct Row
  {
    const char* m_from;
    const char* m_to;
    const char* m_fault;
  };
  const std::string engine = "\"step_ms\":0.85";
  for (const Row& row : {
         Row{ "\"layers\":80",
              "\"layers\":1000000000",
              "engine: \"layers\" is 1000000000, expected 0 to 1024" },
         Row{ "\"layers\":80",
              "\"layers\":4294967376",
              "engine: \"layers\" is 4294967376, expected 0 to 1024" },
         Row{ "\"weight\":90",
              "\"weight\":4294967296",
              "traffic-split 0: \"weight\" is 4294967296, "
              "expected 0 to 1000000" },
         Row{ "\"priority\":1,\n",
              "\"priority\":4294967296,",
              "routes 0: \"priority\" is 4294967296, expected 0 to 1000000" },
         Row{ "\"priority\":1}]",
              "\"priority\":1000001}]",
              "tenants 0: \"priority\" is 1000001, expected 0 to 1000000" },
         Row{ "\"max-attempts\":2",
              "\"max-attempts\":4294967298",
              "routes 0: \"max-attempts\" is 4294967298, expected 0 to 1000" },
         Row{ "\"max-connections\":988",
              "\"max-connections\":4294967297",
              "services 0: \"max-connections\" is 4294967297, "
              "expected 0 to 1000000" },
         Row{ "\"max-header-bytes\":16384",
              "\"max-header-bytes\":4294967296",
              "limits: \"max-header-bytes\" is 4294967296, "
              "expected 0 to 1048576" },
         Row{ "\"max-body-bytes\":4194304",
              "\"max-body-bytes\":18446744073709551615",
              "limits: \"max-body-bytes\" is 18446744073709551615, "
              "expected 0 to 67108864" },
       }) {
    STRCMP_EQUAL(row.m_fault,
                 DecodeError(Replace(kDocument, row.m_from, row.m_to)).c_str());
  }
  for (const char* name : { "step_ms",
                            "layer-mb",
                            "kv-token-bytes",
                            "read_per_s",
                            "chunk",
                            "stride",
                            "pairs_per_m" }) {
    for (const char* value : { "-1", "1e300" }) {
      const std::string field = "\"" + std::string(name) + "\":" + value;
      std::string document = Replace(kDocument, engine, field);
      if (const std::string old = "\"" + std::string(name) + "\":";
          kDocument.find(old) != std::string::npos) {
        document = Replace(kDocument, old, field + ",\"later\":");
      }
      const std::string error = DecodeError(document);
      CHECK_TEXT(error.starts_with("engine: \"" + std::string(name) + "\" is "),
                 error.c_str());
    }
  }
  for (const char* name : { "mb", "pace", "read-x" }) {
    const std::string old = "\"" + std::string(name) + "\":";
    const std::string error =
      DecodeError(Replace(kDocument, old, old + "1e13,\"later\":"));
    CHECK_TEXT(error.starts_with("kinds 0: \"" + std::string(name) + "\" is "),
               error.c_str());
  }
  for (const char* name : { "prompt", "answer" }) {
    const std::string usual = ",\"usual\":{\"" + std::string(name) + "\":1e13}";
    const std::string error =
      DecodeError(Replace(kDocument, engine, engine + usual));
    CHECK_TEXT(error.starts_with("usual: \"" + std::string(name) + "\" is "),
               error.c_str());
  }
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
  const auto config =
    Decode(Replace(kDocument,
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
  const auto config =
    Decode(Replace(kDocument, "\"routes\":[", "\"routes\":[" + routes), reason);
  CHECK_TEXT(config != nullptr, reason.m_text.c_str());
  CHECK_EQUAL(20'002U, config->Routes().size());
}

TEST(ConfigDocument, RoutesOfOneHostInTwoSpellingsAreRefusedUnlessAccepted)
{
  const std::string text =
    Replace(Replace(kDocument, "/b/", "/a/"), "one.example", "One.Example");
  STRCMP_EQUAL("route \"r2\": host \"one.example\" with prefix \"/a/\" is "
               "taken, expected a unique pair",
               DecodeError(text).c_str());
  RoutingReason reason;
  const auto config = Decode(text, reason, DocumentOrigin::Accepted);
  STRCMP_EQUAL("r2", config->FindRoute("ONE.example", "/a/x")->m_name.c_str());
}
