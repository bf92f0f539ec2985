// Hashes that identify endpoints and gateways in reports between replicas.
#pragma once

#include <cstdint>
#include <string>

namespace parsleycove {

// Returns the 64-bit hash of an endpoint's id and incarnation.
std::uint64_t
HashEndpoint(const std::string& aId, std::uint64_t aIncarnation);

// Returns the 64-bit hash of a gateway's VM and the epoch of its process.
std::uint64_t
HashGateway(const std::string& aVm, std::uint64_t aEpoch);

} // namespace parsleycove
