// Chooses the VM that takes a request over from a VM without endpoints.
#include "Reach/HelperPicker.h"

#include <algorithm>
#include <utility>

namespace parsleycove {

namespace {

RunnerPtr
MakeGateway(const state::EntryGatewayT& aListed, const RunnerPtr& aKnown)
{
  const SocketAddress address{ aListed.address, aListed.port };
  if (aKnown && aKnown->m_address == address) {
    return aKnown;
  }
  boost::intrusive_ptr<Runner> gateway(new Runner);
  gateway->m_id = aListed.vm;
  gateway->m_zone = aListed.zone;
  gateway->m_address = address;
  gateway->m_isGateway = true;
  gateway->m_phase = state::EndpointPhase::Ready;
  gateway->m_kind = state::EndpointKind::PlainService;
  gateway->m_idHash = HashId("gateway " + aListed.vm);
  gateway->m_incarnation = HashId(address.ToString());
  gateway->m_load.reset(new RunnerLoad);
  return gateway;
}

} // namespace

HelperPicker::HelperPicker(std::string aOwnVm,
                           std::string aOwnZone,
                           std::uint64_t aSeed)
  : m_ownVm(std::move(aOwnVm))
  , m_ownZone(std::move(aOwnZone))
  , m_random(aSeed)
{
}

void
HelperPicker::Apply(const ClusterView& aView)
{
  std::map<std::string, Helper, std::less<>> helpers;
  for (const auto& listed : aView.Image().gateways) {
    if (listed->vm == m_ownVm) {
      continue;
    }
    const auto known = m_helpers.find(listed->vm);
    helpers[listed->vm] = {
      MakeGateway(*listed,
                  known == m_helpers.end() ? nullptr : known->second.m_gateway),
      listed->unreached,
      known == m_helpers.end() ? std::map<std::string, TimePoint, std::less<>>{}
                               : known->second.m_refusedAt
    };
  }
  m_helpers = std::move(helpers);
}

void
HelperPicker::RecordUnreached(TimePoint aNow,
                              const Runner& aHelper,
                              std::string_view aService)
{
  if (const auto known = m_helpers.find(aHelper.m_id);
      known != m_helpers.end()) {
    known->second.m_refusedAt[std::string(aService)] = aNow;
  }
}

bool
HelperPicker::IsUsable(TimePoint aNow,
                       const Helper& aHelper,
                       const HelperRequest& aRequest)
{
  const auto& unreached = aHelper.m_unreached;
  const auto& excluded = aRequest.m_excluded;
  const RunnerLoad& load = *aHelper.m_gateway->m_load;
  if (const auto refused = aHelper.m_refusedAt.find(aRequest.m_service);
      refused != aHelper.m_refusedAt.end() &&
      aNow - refused->second < kRefusalMemory) {
    return false;
  }
  return load.Circuit(aNow) != CircuitState::Open && !load.IsEjected(aNow) &&
         std::find(unreached.begin(), unreached.end(), aRequest.m_service) ==
           unreached.end() &&
         std::find(excluded.begin(), excluded.end(), aHelper.m_gateway->m_id) ==
           excluded.end();
}

bool
HelperPicker::HasHelper(TimePoint aNow, const HelperRequest& aRequest) const
{
  return std::any_of(
    m_helpers.begin(), m_helpers.end(), [&](const auto& aEntry) {
      return IsUsable(aNow, aEntry.second, aRequest);
    });
}

RunnerPtr
HelperPicker::Pick(TimePoint aNow, const HelperRequest& aRequest)
{
  RunnerPtr best;
  std::int32_t least = 0;
  std::uint64_t equals = 0;
  for (const auto& [vm, helper] : m_helpers) {
    if (!IsUsable(aNow, helper, aRequest)) {
      continue;
    }
    const RunnerPtr& gateway = helper.m_gateway;
    const std::int32_t score =
      gateway->m_load->Streams() +
      (gateway->m_zone == m_ownZone ? 0 : kOtherZoneHandicap);
    if (!best || score < least) {
      equals = 0;
    }
    const bool isEqual = best && score == least;
    if (!best || score < least ||
        (isEqual && m_random.Below(equals + 1) == 0)) {
      best = gateway;
      least = score;
    }
    if (score == least) {
      ++equals;
    }
  }
  return best;
}

} // namespace parsleycove
