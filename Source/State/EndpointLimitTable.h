// Rules by which the gateways divide the limits of endpoints.
//
// Load pattern: an endpoint that can do less than usual names a limit while the
// callers of all gateways press on. What the gateways together send must keep
// to it, although their demand differs and changes.
//
// Time is the commands' own, which the leader stamps: replicas and the copies
// of the gateways apply the same commands and have to get equal tables.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "StateGenerated.h"

namespace parsleycove {

// A share is forgotten if its gateway has not asked for it for this long. A
// gateway that is cut off from the control group stops taking new work before.
inline constexpr std::uint64_t kLimitShareLifetimeMs = 10'000;
// A smaller limit counts as this: without requests nobody would learn that the
// limit has ended.
inline constexpr std::uint64_t kMinLimitPer1000s = 100;
// A gateway takes the place of another one if its demand is this many times as
// large.
inline constexpr std::uint64_t kLimitShareFactor = 4;
inline constexpr std::size_t kMaxLimitClaims = 1024;

// Sets code and text of aResult, and changes aImage only if the code is Ok.
// Duplicate when nothing changes. Claims for endpoints that are not listed with
// their incarnation are passed over.
void
ApplyClaimEndpointLimits(state::ConfigImageT& aImage,
                         const state::ClaimEndpointLimitsT& aCommand,
                         state::CommandResultT& aResult);

// How many gateways share the limit. Each may save up one request, so more of
// them could send more at once than the endpoint takes.
std::size_t
MaxLimitShares(const state::EndpointLimitT& aLimit);
// Returns nullptr if the gateway has no share.
const state::LimitShareT*
FindLimitShare(const state::EndpointLimitT& aLimit, std::string_view aGateway);
// The gateway's part of the limit, mostly by demand; 0 without a share. The
// parts of all gateways add up to 1.
double
LimitFractionOf(const state::EndpointLimitT& aLimit, std::string_view aGateway);
// Returns true if a gateway without a share gets one for this demand.
bool
MayGetLimitShare(const state::EndpointLimitT& aLimit,
                 std::uint32_t aDemand,
                 std::uint64_t aUnixMs);

// True when shares are sorted by distinct gateways and have a demand; for
// decoded images.
bool
HasSoundLimits(const state::ConfigImageT& aImage);

} // namespace parsleycove
