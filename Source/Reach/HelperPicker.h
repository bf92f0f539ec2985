// Chooses the VM that takes a request over from a VM without endpoints.
//
// Load patterns: one VM of sixty is cut off and the others have room; most VMs
// of a zone or of the fleet are cut off and send all their requests to the few
// that are left; a VM that helps ends, stops or is cut off next.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Routing/Random.h"
#include "Routing/Runner.h"
#include "State/ClusterView.h"

namespace parsleycove {

struct HelperRequest
{
  std::string_view m_service;
  // VMs that this request was passed on to before.
  const std::vector<std::string>& m_excluded;
};

// Used by one thread only.
//
// Invariant: the load record of a VM is kept while the VM is listed at the same
// address.
class HelperPicker
{
public:
  HelperPicker(std::string aOwnVm, std::string aOwnZone, std::uint64_t aSeed);

  // Applies the list of gateways of a new view.
  void Apply(const ClusterView& aView);
  // Returns the VM with the fewest requests of this VM in progress, of equal
  // ones a random one; a VM in another zone only where those of the own zone
  // have kOtherZoneHandicap more. Returns nullptr if no VM that can be used
  // reaches the service.
  RunnerPtr Pick(TimePoint aNow, const HelperRequest& aRequest);
  bool HasHelper(TimePoint aNow, const HelperRequest& aRequest) const;
  // Records that the VM refused a request because it does not reach the service
  // either. The list shows so a moment later.
  void RecordUnreached(TimePoint aNow,
                       const Runner& aHelper,
                       std::string_view aService);
  std::size_t Count() const { return m_helpers.size(); }

  static constexpr std::int32_t kOtherZoneHandicap = 4;
  // How long a refusal is remembered.
  static constexpr Duration kRefusalMemory = std::chrono::seconds(1);

private:
  struct Helper
  {
    RunnerPtr m_gateway;
    // Services that the VM does not reach.
    std::vector<std::string> m_unreached;
    // When the VM last refused, by service.
    std::map<std::string, TimePoint, std::less<>> m_refusedAt;
  };

  static bool IsUsable(TimePoint aNow,
                       const Helper& aHelper,
                       const HelperRequest& aRequest);

  const std::string m_ownVm;
  const std::string m_ownZone;
  Random m_random;
  // By VM.
  std::map<std::string, Helper, std::less<>> m_helpers;
};

} // namespace parsleycove
