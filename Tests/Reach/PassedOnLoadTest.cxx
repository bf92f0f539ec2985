// Replays the load of VMs that are cut off on the VMs that are left, in fleets
// of 2 to 200 VMs.
#include <algorithm>
#include <memory>
#include <string>

#include "Reach/HelperPicker.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

const TimePoint kNow(std::chrono::seconds(1000));
constexpr int kZones = 3;
// Requests that each VM has in progress.
constexpr int kRequests = 20;

std::string
VmName(int aVm)
{
  return "vm-" + std::to_string(aVm);
}

std::string
ZoneName(int aVm)
{
  return "zone-" + std::to_string(aVm % kZones);
}

} // namespace

// clang-format off
TEST_GROUP(PassedOnLoad)
{
  // Lets the first aCut of aVms VMs pass on all their requests. Returns the
  // requests that the busiest helper gets over the mean.
  static double BusiestOverMean(int aVms, int aCut)
  {
    state::ConfigImageT image;
    for (int vm = 0; vm < aVms; ++vm) {
      auto gateway = std::make_unique<state::EntryGatewayT>();
      gateway->vm = VmName(vm);
      gateway->zone = ZoneName(vm);
      gateway->address = "10.0.0.1";
      gateway->port = static_cast<std::uint16_t>(vm + 1);
      if (vm < aCut) {
        gateway->unreached.push_back("model");
      }
      image.gateways.push_back(std::move(gateway));
    }
    std::sort(image.gateways.begin(), image.gateways.end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft->vm < aRight->vm; });
    const boost::intrusive_ptr<ClusterView> view(new ClusterView(image));
    std::map<std::string, int> load;
    for (int vm = 0; vm < aCut; ++vm) {
      HelperPicker picker(VmName(vm), ZoneName(vm), vm + 1);
      picker.Apply(*view);
      const std::vector<std::string> none;
      std::vector<RunnerPtr> busy;
      for (int i = 0; i < kRequests; ++i) {
        busy.push_back(picker.Pick(kNow, { "model", none }));
        CHECK(busy.back() != nullptr);
        busy.back()->m_load->AddStream();
        ++load[busy.back()->m_id];
      }
    }
    int most = 0;
    for (const auto& [vm, count] : load) {
      most = std::max(most, count);
    }
    const double mean = double(aCut) * kRequests / (aVms - aCut);
    return most / mean;
  }
};
// clang-format on

// No helper is overrun when most of the fleet is cut off.
TEST(PassedOnLoad, IsSpreadWhereFewVmsAreLeft)
{
  for (const int vms : { 2, 3, 9, 60, 200 }) {
    const int cut = vms - std::max(1, vms / 20);
    CHECK(BusiestOverMean(vms, cut) <= 1.25);
  }
}

TEST(PassedOnLoad, IsSpreadWhereHalfOfTheVmsAreLeft)
{
  for (const int vms : { 2, 4, 8, 60, 200 }) {
    CHECK(BusiestOverMean(vms, vms / 2) <= 2);
  }
}
