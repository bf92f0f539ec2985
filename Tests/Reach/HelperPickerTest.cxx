// Tests of the choice of the VM that takes a request over.
#include "Reach/HelperPicker.h"

#include <memory>

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

const TimePoint kNow(std::chrono::seconds(1000));

} // namespace

// clang-format off
TEST_GROUP(HelperPicker)
{
  state::ConfigImageT m_image;
  HelperPicker m_picker{ "own", "zone-a", 7 };
  std::vector<std::string> m_excluded;

  void List(const std::string& aVm, const std::string& aZone,
            std::uint16_t aPort, std::vector<std::string> aUnreached = {})
  {
    auto gateway = std::make_unique<state::EntryGatewayT>();
    gateway->vm = aVm;
    gateway->zone = aZone;
    gateway->address = "10.0.0.1";
    gateway->port = aPort;
    gateway->unreached = std::move(aUnreached);
    m_image.gateways.push_back(std::move(gateway));
  }
  void Apply() { m_picker.Apply(*boost::intrusive_ptr<ClusterView>(
    new ClusterView(m_image))); }
  RunnerPtr Pick() { return m_picker.Pick(kNow, { "model", m_excluded }); }
};
// clang-format on

TEST(HelperPicker, AVmWithoutOthersHasNoHelper)
{
  List("own", "zone-a", 1);
  Apply();
  CHECK(Pick() == nullptr);
}

TEST(HelperPicker, AVmThatDoesNotReachTheServiceHelpsWithOtherServicesOnly)
{
  List("vm-1", "zone-a", 1, { "model" });
  Apply();
  CHECK(Pick() == nullptr);
  CHECK(m_picker.Pick(kNow, { "plain", m_excluded }) != nullptr);
}

TEST(HelperPicker, NearBeforeFarUntilTheNearOnesAreBusy)
{
  List("far", "zone-b", 1);
  List("near", "zone-a", 2);
  Apply();
  std::vector<RunnerPtr> busy;
  for (int i = 0; i < HelperPicker::kOtherZoneHandicap; ++i) {
    const RunnerPtr helper = Pick();
    STRCMP_EQUAL("near", helper->m_id.c_str());
    helper->m_load->AddStream();
    busy.push_back(helper);
  }
  busy.front()->m_load->AddStream();
  STRCMP_EQUAL("far", Pick()->m_id.c_str());
}

// Failure: a helper ends or stops next.
TEST(HelperPicker, AVmThatRefusedOrDoesNotAnswerIsLeftOut)
{
  List("vm-1", "zone-a", 1);
  List("vm-2", "zone-a", 2);
  Apply();
  const RunnerPtr first = Pick();
  m_excluded.push_back(first->m_id);
  const RunnerPtr second = Pick();
  CHECK(first->m_id != second->m_id);
  second->m_load->OpenCircuitFor(kNow, std::chrono::seconds(1));
  CHECK(Pick() == nullptr);
}

// Load: at the moment of a cut the list does not show yet who else is cut off.
TEST(HelperPicker, ARefusalIsRememberedForItsService)
{
  List("vm-1", "zone-a", 1);
  Apply();
  m_picker.RecordUnreached(kNow, *Pick(), "model");
  Apply();
  CHECK(Pick() == nullptr);
  CHECK(m_picker.Pick(kNow, { "plain", m_excluded }) != nullptr);
  CHECK(m_picker.Pick(kNow + HelperPicker::kRefusalMemory,
                      { "model", m_excluded }) != nullptr);
}

TEST(HelperPicker, LoadIsKeptWhileTheVmIsListedAtItsAddress)
{
  List("vm-1", "zone-a", 1);
  Apply();
  const RunnerPtr before = Pick();
  m_image.gateways.front()->unreached.push_back("plain");
  Apply();
  CHECK(Pick() == before);
  m_image.gateways.front()->port = 2;
  Apply();
  CHECK(Pick() != before);
}
