// Tests of configuration, endpoint registry and orders.
#include "State/ConfigState.h"
#include "State/EndpointRegistry.h"

#include "State/Commands.h"
#include "State/ConfigJson.h"
#include "State/NamedEntities.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;
using state::EndpointPhase;
using state::ResultCode;

TEST_GROUP(ConfigState)
{
  ConfigState m_config;
  std::uint64_t m_index = 0;

  ResultCode Apply(const state::CommandT& aCommand)
  {
    return m_config.Apply(++m_index, aCommand).code;
  }
  void CheckCode(ResultCode aExpected, const state::CommandT& aCommand)
  {
    const auto result = m_config.Apply(++m_index, aCommand);
    CHECK_EQUAL_TEXT(static_cast<int>(aExpected),
                     static_cast<int>(result.code),
                     result.text.c_str());
  }
  const state::EndpointT* FindEndpoint(const std::string& aId)
  {
    return FindEntity(m_config.Image().endpoints, aId);
  }
  const state::EngineOrderT* FindOrder(const std::string& aId)
  {
    return FindEntity(m_config.Image().orders, aId);
  }
  void AddModel()
  {
    CheckCode(ResultCode::Ok,
              MakeChange("model",
                         m_config.Image().revision,
                         R"({"put_models":[{"name":"briefing",)"
                         R"("version":"1","layers":8}]})"));
  }
};

TEST(ConfigState, OfTwoRacingOperatorsOneWins)
{
  CheckCode(ResultCode::Ok, MakeClassChange("one", 0, "urgent"));
  CheckCode(ResultCode::RevisionConflict, MakeClassChange("two", 0, "calm"));
  CHECK_EQUAL(1, m_config.Image().revision);
  CHECK_EQUAL(1, m_config.Image().classes.size());
}

TEST(ConfigState, AnIndexIsAppliedOnce)
{
  CheckCode(ResultCode::Ok, MakeClassChange("one", 0, "urgent"));
  const auto result = m_config.Apply(1, MakeClassChange("two", 1, "calm"));
  CHECK_TRUE(ResultCode::Duplicate == result.code);
  CHECK_EQUAL(1, m_config.Image().classes.size());
}

TEST(ConfigState, LateWordsSpareTheNextIncarnation)
{
  CheckCode(ResultCode::Ok, MakeAnnounce(MakeEngine("e", 1)));
  CheckCode(ResultCode::Ok, MakeAnnounce(MakeEngine("e", 2)));
  CheckCode(ResultCode::StaleIncarnation, MakeAnnounce(MakeEngine("e", 1)));
  CheckCode(ResultCode::StaleIncarnation, MakeLeave("e", 1));
  CheckCode(ResultCode::Ok, MakeDrop("e", 1));
  CHECK_TRUE(FindEndpoint("e") != nullptr);
  CHECK_TRUE(EndpointPhase::Ready == FindEndpoint("e")->phase);
}

TEST(ConfigState, ALeavingEndpointStaysLeavingUntilDropped)
{
  CheckCode(ResultCode::Ok, MakeAnnounce(MakeEngine("e", 1)));
  CheckCode(ResultCode::Ok, MakeLeave("e", 1));
  CheckCode(ResultCode::Ok, MakeLeave("e", 1));
  CheckCode(ResultCode::StaleIncarnation, MakeAnnounce(MakeEngine("e", 1)));
  // Proposed while the endpoint was ready.
  CheckCode(ResultCode::Ok, MakeDrop("e", 1));
  CheckCode(ResultCode::StaleIncarnation, MakeAnnounce(MakeEngine("e", 1)));
  CHECK_TRUE(EndpointPhase::Leaving == FindEndpoint("e")->phase);
  CheckCode(ResultCode::Ok, MakeDrop("e", DropMark(*FindEndpoint("e"))));
  CHECK_TRUE(FindEndpoint("e") == nullptr);
  CheckCode(ResultCode::NotFound, MakeLeave("e", 1));
}

TEST(ConfigState, ALeaveThatOvertookItsAnnouncementHolds)
{
  CheckCode(ResultCode::Ok, MakeAnnounce(MakeEngine("e", 1)));
  CheckCode(ResultCode::Ok, MakeLeave("e", 2));
  CheckCode(ResultCode::StaleIncarnation, MakeAnnounce(MakeEngine("e", 2)));
  CHECK_TRUE(EndpointPhase::Leaving == FindEndpoint("e")->phase);
}

TEST(ConfigState, LayersMustFitTheModelWhenItIsKnown)
{
  CheckCode(ResultCode::Ok, MakeAnnounce(MakeEngine("early", 1, 0, 9)));
  CheckCode(ResultCode::Invalid, MakeAnnounce(MakeEngine("e", 1, 4, 3)));
  CheckCode(ResultCode::Ok, MakeDrop("early", 1));
  AddModel();
  CheckCode(ResultCode::Invalid, MakeAnnounce(MakeEngine("e", 1, 0, 8)));
  CheckCode(ResultCode::Ok, MakeAnnounce(MakeEngine("e", 1, 0, 7)));
}

TEST(ConfigState, AnAnnouncementNeedsAnAddressAndAKnownKind)
{
  state::EndpointT endpoint = MakeEngine("e", 1);
  endpoint.address = "engine.example";
  CheckCode(ResultCode::Invalid, MakeAnnounce(endpoint));
  endpoint = MakeEngine("e", 1);
  endpoint.kind = static_cast<state::EndpointKind>(9);
  CheckCode(ResultCode::Invalid, MakeAnnounce(endpoint));
  endpoint = MakeEngine("e", 1);
  endpoint.accelerator.assign(65, 'x');
  CheckCode(ResultCode::Invalid, MakeAnnounce(endpoint));
  CheckCode(ResultCode::Invalid, MakeAnnounce(MakeEngine("e", 0)));
  CheckCode(ResultCode::Invalid, MakeCommand(state::AnnounceEndpointT()));
}

TEST(ConfigState, ANewerOrderTakesTheOldOnesPlace)
{
  AddModel();
  Apply(MakeAnnounce(MakeEngine("e", 1)));
  CheckCode(ResultCode::Ok, MakeIssue(MakeOrder("one", "e", 1, 5)));
  const std::uint64_t sequence = m_index;
  CHECK_EQUAL(sequence, FindOrder("one")->sequence);
  CheckCode(ResultCode::Duplicate, MakeIssue(MakeOrder("one", "e", 1, 5)));
  CHECK_EQUAL(sequence, FindOrder("one")->sequence);
  CheckCode(ResultCode::Ok, MakeIssue(MakeOrder("two", "e", 1, 5)));
  CHECK_TRUE(FindOrder("one") == nullptr);
  state::FinishOrderT finish;
  finish.id = "two";
  finish.sequence = sequence;
  CheckCode(ResultCode::NotFound, MakeCommand(finish));
  finish.sequence = FindOrder("two")->sequence;
  CheckCode(ResultCode::Ok, MakeCommand(finish));
  CHECK_TRUE(FindOrder("two")->done);
}

TEST(ConfigState, AnOrderNeedsItsEngineAndGoesWithIt)
{
  AddModel();
  CheckCode(ResultCode::NotFound, MakeIssue(MakeOrder("one", "e", 1, 5)));
  Apply(MakeAnnounce(MakeEngine("e", 2)));
  CheckCode(ResultCode::StaleIncarnation,
            MakeIssue(MakeOrder("one", "e", 1, 5)));
  state::EngineOrderT wide = MakeOrder("one", "e", 2, 5);
  wide.last_layer = 8;
  CheckCode(ResultCode::Invalid, MakeIssue(wide));
  CheckCode(ResultCode::Ok, MakeIssue(MakeOrder("one", "e", 2, 5)));
  wide.last_layer = 7;
  CheckCode(ResultCode::Invalid, MakeIssue(wide));
  CheckCode(ResultCode::Ok, MakeAnnounce(MakeEngine("e", 3)));
  CHECK_TRUE(m_config.Image().orders.empty());
}

TEST(ConfigState, JsonFormRoundTrips)
{
  const std::string text =
    R"({"put_classes":[{"name":"urgent","first_token_ms":10,)"
    R"("token_interval_ms":0,"completion_ms":20,"success_per_mille":5}],)"
    R"("remove_classes":["calm"],"put_accounts":[{"name":"acme",)"
    R"("key_hash":"ab","default_class":"urgent"}],"put_services":[{)"
    R"("name":"booking","idempotent_prefixes":["/status"],)"
    R"("reports_not_run":true}],)"
    R"("settings":{"shutdown_unix_ms":18446744073709551615}})";
  StateReason reason;
  const auto change = ParseConfigChange(text, reason);
  CHECK_TEXT(change.has_value(), reason.m_text.c_str());
  STRCMP_EQUAL(text.c_str(), PrintConfigChange(*change).c_str());
  CHECK(PrintAccount(*change->put_accounts[0]).find("key_hash") ==
        std::string::npos);
}

TEST(ConfigState, AnnouncementsNameTheFieldAtFault)
{
  StateReason reason;
  CHECK_FALSE(ParseEndpoint(R"({"id":"e"})", reason).has_value());
  STRCMP_EQUAL("incarnation: missing, expected a value", reason.m_text.c_str());
  const std::string text = R"({"id":"e","incarnation":1,"address":"10.0.0.1",)"
                           R"("port":1,"zone":"a","slots":1,)";
  CHECK_FALSE(ParseEndpoint(text + R"("kind":"tpu"})", reason).has_value());
  STRCMP_EQUAL("kind: expected engine or plain_service", reason.m_text.c_str());
  CHECK_FALSE(ParseEndpoint(text + R"("kind":"plain_service","service":"b",)"
                                   R"("model":"m"})",
                            reason)
                .has_value());
  STRCMP_EQUAL("model: unknown field", reason.m_text.c_str());
}
