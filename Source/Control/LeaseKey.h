// Short names of endpoints and gateways for reports between replicas.
#pragma once

#include <cstdint>
#include <string>

namespace parsleycove {

// 64-bit hash of an endpoint with its incarnation.
std::uint64_t
HashEndpoint(const std::string& aId, std::uint64_t aIncarnation);

// 64-bit hash of a gateway with its process's start number.
std::uint64_t
HashGateway(const std::string& aVm, std::uint64_t aEpoch);

} // namespace parsleycove
