// Tests of documents, counted reports, suspicions and reused addresses.
#include "State/Commands.h"
#include "State/ConfigState.h"
#include "State/NamedEntities.h"
#include "State/ReplicatedState.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;
using state::EndpointPhase;
using state::ResultCode;

// clang-format off
TEST_GROUP(RegistryRules)
{
  ConfigState m_config;
  std::uint64_t m_index = 0;

  ResultCode Apply(const state::CommandT& aCommand)
  {
    return m_config.Apply(++m_index, aCommand).code;
  }
  const state::EndpointT* Find(const std::string& aId)
  {
    return FindEntity(m_config.Image().endpoints, aId);
  }
  static state::EndpointT MakeManaged(const std::string& aId,
                                      std::uint64_t aIncarnation,
                                      std::uint64_t aReport,
                                      std::uint32_t aLayers = 0)
  {
    state::EndpointT endpoint;
    endpoint.id = aId;
    endpoint.incarnation = aIncarnation;
    endpoint.report = aReport;
    endpoint.kind = state::EndpointKind::ManagedEngine;
    endpoint.service = "s1";
    endpoint.address = "10.0.0.9";
    endpoint.port = 8080;
    endpoint.zone = "z";
    endpoint.slots = 8;
    endpoint.layer_count = aLayers;
    return endpoint;
  }
  static state::CommandT Document(std::uint64_t aVersion, const std::string& aText)
  {
    state::PutDocumentT put;
    put.document = std::make_unique<state::RoutingDocumentT>();
    put.document->version = aVersion;
    put.document->text = aText;
    return MakeCommand(std::move(put));
  }
  static state::CommandT Suspect(const std::string& aId, std::uint64_t aIncarnation)
  {
    state::SuspectEndpointT suspect;
    suspect.endpoint =
      std::make_unique<state::EndpointRefT>(MakeRef(aId, aIncarnation));
    return MakeCommand(std::move(suspect));
  }
};
// clang-format on

TEST(RegistryRules, TheHighestDocumentStays)
{
  CHECK(Apply(Document(5, "five")) == ResultCode::Ok);
  CHECK(Apply(Document(5, "other five")) == ResultCode::Duplicate);
  CHECK(Apply(Document(4, "four")) == ResultCode::Duplicate);
  STRCMP_EQUAL("five", m_config.Image().document->text.c_str());
  CHECK(Apply(Document(6, "six")) == ResultCode::Ok);
  STRCMP_EQUAL("six", m_config.Image().document->text.c_str());
}

TEST(RegistryRules, ADocumentDoesNotCountAsAChangeOfTheProductsOwnConfiguration)
{
  Apply(Document(5, "five"));
  CHECK_EQUAL(0U, m_config.Image().revision);
}

TEST(RegistryRules, ADocumentSurvivesASnapshot)
{
  ReplicatedState before;
  before.Apply(1, 1, Document(5, "five"));
  ReplicatedState after;
  CHECK(after.Restore(before.TakeImage()));
  STRCMP_EQUAL("five", after.Config().document->text.c_str());
  CHECK(after.Apply(2, 1, Document(4, "four")).code == ResultCode::Duplicate);
}

TEST(RegistryRules, ALateReportDoesNotTakeLayersBack)
{
  CHECK(Apply(MakeAnnounce(MakeManaged("e", 1, 5, 10))) == ResultCode::Ok);
  CHECK(Apply(MakeAnnounce(MakeManaged("e", 1, 4, 0))) ==
        ResultCode::StaleIncarnation);
  CHECK_EQUAL(10U, Find("e")->layer_count);
}

TEST(RegistryRules, ANewStartCountsItsReportsAnew)
{
  Apply(MakeAnnounce(MakeManaged("e", 1, 50, 10)));
  CHECK(Apply(MakeAnnounce(MakeManaged("e", 2, 1, 0))) == ResultCode::Ok);
  CHECK_EQUAL(0U, Find("e")->layer_count);
}

TEST(RegistryRules, AnAddressBelongsToTheOneThatStartedLast)
{
  Apply(MakeAnnounce(MakeManaged("old", 1, 5)));
  CHECK(Apply(MakeAnnounce(MakeManaged("new", 2, 1))) == ResultCode::Ok);
  CHECK(Find("old") == nullptr);
  CHECK(Apply(MakeAnnounce(MakeManaged("old", 1, 6))) ==
        ResultCode::StaleIncarnation);
  CHECK(Find("new") != nullptr);
}

TEST(RegistryRules, ASuspicionLastsUntilTheNextAnnouncement)
{
  Apply(MakeAnnounce(MakeManaged("e", 1, 5, 10)));
  CHECK(Apply(Suspect("e", 1)) == ResultCode::Ok);
  CHECK(Find("e")->suspected);
  CHECK(Find("e")->phase == EndpointPhase::Ready);
  CHECK(Apply(Suspect("e", 1)) == ResultCode::Duplicate);
  Apply(MakeAnnounce(MakeManaged("e", 1, 6, 10)));
  CHECK_FALSE(Find("e")->suspected);
}

TEST(RegistryRules, ASuspicionOfAnEarlierStartChangesNothing)
{
  Apply(MakeAnnounce(MakeManaged("e", 2, 5)));
  CHECK(Apply(Suspect("e", 1)) == ResultCode::StaleIncarnation);
  CHECK(Apply(Suspect("other", 1)) == ResultCode::NotFound);
  CHECK_FALSE(Find("e")->suspected);
}

TEST(RegistryRules, AManagedEngineWithTooManyLayersIsRefused)
{
  state::EndpointT endpoint = MakeManaged("e", 1, 1, 10);
  endpoint.first_layer = 4'000'000'000U;
  CHECK(Apply(MakeAnnounce(endpoint)) == ResultCode::Invalid);
}
