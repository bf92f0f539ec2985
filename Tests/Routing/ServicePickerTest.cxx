// Tests picking an endpoint of a plain service.
#include "Routing/ServicePicker.h"

#include "Routing/TestCluster.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

TEST_GROUP(ServicePicker)
{
  void setup() override
  {
    m_cluster.AddService("s0", "booking");
    m_cluster.AddService("s1", "booking");
    m_cluster.AddService("s2", "booking").phase = state::EndpointPhase::Leaving;
    m_request.m_service = "booking";
    m_request.m_ownZone = "a";
  }

  TestCluster m_cluster;
  PickRequest m_request;
  ServicePicker m_picker{ 1 };
};

TEST(ServicePicker, SpreadsCallsAndSkipsLeavingEndpoints)
{
  const auto table = m_cluster.Build();
  for (int i = 0; i < 20; ++i) {
    const RunnerPtr endpoint = m_picker.Pick(kTestStart, *table, m_request);
    CHECK(endpoint->m_id != "s2");
    endpoint->m_load->AddStream();
  }
  const auto streamsOf = [&](const char* aId) {
    return table->FindRunner(aId)->m_load->Streams();
  };
  CHECK_EQUAL(10, streamsOf("s0"));
  CHECK_EQUAL(10, streamsOf("s1"));
}

TEST(ServicePicker, NeverPicksAnExcludedEndpoint)
{
  const auto table = m_cluster.Build();
  m_request.m_excluded = { "s0" };
  for (int i = 0; i < 10; ++i) {
    const RunnerPtr endpoint = m_picker.Pick(kTestStart, *table, m_request);
    STRCMP_EQUAL("s1", endpoint->m_id.c_str());
  }
  m_request.m_excluded = { "s0", "s1" };
  CHECK(m_picker.Pick(kTestStart, *table, m_request) == nullptr);
  CHECK(m_picker.LastReason().m_code == PickError::NoEndpoint);
  STRCMP_CONTAINS("booking", m_picker.LastReason().m_text.c_str());
}

TEST(ServicePicker, AvoidsSuspectsWhileThereAreOthers)
{
  const auto table = m_cluster.Build();
  RunnerLoad& suspect = *table->FindRunner("s0")->m_load;
  suspect.RecordFailure(kTestStart);
  suspect.RecordFailure(kTestStart);
  for (int i = 0; i < 10; ++i) {
    const RunnerPtr endpoint = m_picker.Pick(kTestStart, *table, m_request);
    STRCMP_EQUAL("s1", endpoint->m_id.c_str());
  }
  m_request.m_excluded = { "s1" };
  CHECK(m_picker.Pick(kTestStart, *table, m_request) != nullptr);
}
