// Rules of the list of VMs that take callers.
#include "State/EntryGatewayTable.h"

#include <algorithm>
#include <string>

#include "State/NamedEntities.h"

namespace parsleycove {

namespace {

constexpr std::size_t kMaxNameLength = 128;

bool
IsValid(const state::AnnounceGatewayT& aCommand)
{
  const auto& gateway = aCommand.gateway;
  const auto isName = [](const std::string& aName) {
    return !aName.empty() && aName.size() <= kMaxNameLength;
  };
  return gateway && isName(gateway->vm) &&
         (aCommand.leaving ||
          (isName(gateway->address) && gateway->port != 0 &&
           gateway->zone.size() <= kMaxNameLength &&
           gateway->unreached.size() <= kMaxUnreachedServices &&
           std::all_of(
             gateway->unreached.begin(), gateway->unreached.end(), isName)));
}

bool
IsKnown(const state::EntryGatewayT* aListed, const state::EntryGatewayT& aNew)
{
  return aListed != nullptr && aListed->zone == aNew.zone &&
         aListed->address == aNew.address && aListed->port == aNew.port &&
         aListed->unreached == aNew.unreached &&
         aNew.unix_ms < aListed->unix_ms + kGatewayRefreshMs;
}

} // namespace

std::uint32_t
EstimateGatewayCount(std::uint32_t aCounted, const state::ConfigImageT& aImage)
{
  if (aCounted != 0) {
    return aCounted;
  }
  return aImage.gateways.empty()
           ? kAssumedGateways
           : static_cast<std::uint32_t>(aImage.gateways.size());
}

void
ApplyAnnounceGateway(state::ConfigImageT& aImage,
                     const state::AnnounceGatewayT& aCommand,
                     state::CommandResultT& aResult)
{
  if (!IsValid(aCommand)) {
    aResult.code = state::ResultCode::Invalid;
    aResult.text = "gateway: expected the name of a VM, an address and at "
                   "most " +
                   std::to_string(kMaxUnreachedServices) + " services";
    return;
  }
  state::EntryGatewayT gateway = *aCommand.gateway;
  gateway.unix_ms = aCommand.unix_ms;
  std::sort(gateway.unreached.begin(), gateway.unreached.end());
  const state::EntryGatewayT* listed = FindEntity(aImage.gateways, gateway.vm);
  const bool isKnown =
    aCommand.leaving ? listed == nullptr : IsKnown(listed, gateway);
  if (isKnown) {
    aResult.code = state::ResultCode::Duplicate;
    aResult.text = "gateway '" + gateway.vm + "' is listed so already";
    return;
  }
  std::erase_if(aImage.gateways, [&](const auto& aGateway) {
    return aCommand.unix_ms > aGateway->unix_ms + kGatewayLifetimeMs;
  });
  if (aCommand.leaving) {
    RemoveEntity(aImage.gateways, gateway.vm);
  } else if (FindEntity(aImage.gateways, gateway.vm) != nullptr ||
             aImage.gateways.size() < kMaxEntryGateways) {
    PutEntity(aImage.gateways, gateway);
  } else {
    aResult.code = state::ResultCode::Invalid;
    aResult.text = "gateway '" + gateway.vm +
                   "': " + std::to_string(kMaxEntryGateways) +
                   " are listed already";
  }
}

} // namespace parsleycove
