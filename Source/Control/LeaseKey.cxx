// Hashes that identify endpoints and gateways in reports between replicas.
#include "Control/LeaseKey.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace parsleycove {

namespace {

// Separate seeds keep the hash of an endpoint from matching the hash of a
// gateway with the same name and number.
constexpr std::uint64_t kEndpointSeed = 1;
constexpr std::uint64_t kGatewaySeed = 2;

std::uint64_t
HashName(const std::string& aName, std::uint64_t aNumber, std::uint64_t aSeed)
{
  const std::string text = aName + "#" + std::to_string(aNumber);
  return XXH64(text.data(), text.size(), aSeed);
}

} // namespace

std::uint64_t
HashEndpoint(const std::string& aId, std::uint64_t aIncarnation)
{
  return HashName(aId, aIncarnation, kEndpointSeed);
}

std::uint64_t
HashGateway(const std::string& aVm, std::uint64_t aEpoch)
{
  return HashName(aVm, aEpoch, kGatewaySeed);
}

} // namespace parsleycove
