// Rules of the list of VMs that take callers.
//
// A VM that reaches no endpoint of a service passes its callers' requests on to
// VMs that do. It finds them in this list, which changes only when a VM starts,
// stops, loses a service or reaches it again.
#pragma once

#include <cstddef>
#include <cstdint>

#include "StateGenerated.h"

namespace parsleycove {

inline constexpr std::size_t kMaxEntryGateways = 4096;
inline constexpr std::size_t kMaxUnreachedServices = 256;
// A VM announces itself again after this time, and one that has not done so for
// the second time is dropped when another VM announces itself: it has ended
// without saying so.
inline constexpr std::uint64_t kGatewayRefreshMs = 600'000;
inline constexpr std::uint64_t kGatewayLifetimeMs = 1'500'000;

// How many gateways each one assumes in the fleet if neither the replicas nor
// the list say so; large, so that its part of common limits is small.
inline constexpr std::uint32_t kAssumedGateways = 32;

// Returns the number by which a gateway divides common limits, at least 1:
// aCounted unless that is 0 (unknown), then the length of the list, which
// outlasts restarts and keeps VMs that ended without saying so for a while.
std::uint32_t
EstimateGatewayCount(std::uint32_t aCounted, const state::ConfigImageT& aImage);

// Result codes: Invalid for a gateway without a name or an address, or with too
// many services, and Duplicate for what the list holds already.
void
ApplyAnnounceGateway(state::ConfigImageT& aImage,
                     const state::AnnounceGatewayT& aCommand,
                     state::CommandResultT& aResult);

} // namespace parsleycove
