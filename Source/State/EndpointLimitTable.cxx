// Rules by which the gateways divide the limits of endpoints.
#include "State/EndpointLimitTable.h"

#include <algorithm>
#include <utility>

#include "State/NamedEntities.h"

namespace parsleycove {

namespace {

constexpr std::size_t kMaxGatewayLength = 128;
// Requests in 1000 s for each gateway beyond the first two that share a limit.
constexpr std::uint64_t kPer1000sForShare = 1'000;

// Weight of an equal division beside one by demand, which is known from few
// requests only.
constexpr double kEqualWeight = 0.5;

using ShareList = EntityList<state::LimitShareT>;

bool
IsExpired(const state::LimitShareT& aShare, std::uint64_t aUnixMs)
{
  return aUnixMs > aShare.unix_ms + kLimitShareLifetimeMs;
}

// The share that gives way first: the smallest one, of equal ones the last by
// name.
ShareList::const_iterator
FindWeakest(const ShareList& aShares)
{
  return std::min_element(
    aShares.begin(), aShares.end(), [](const auto& aLeft, const auto& aRight) {
      return std::pair(aLeft->demand, aRight->gateway) <
             std::pair(aRight->demand, aLeft->gateway);
    });
}

bool
IsValid(const state::ClaimEndpointLimitsT& aCommand)
{
  return !aCommand.gateway.empty() &&
         aCommand.gateway.size() <= kMaxGatewayLength &&
         aCommand.claims.size() <= kMaxLimitClaims &&
         std::all_of(aCommand.claims.begin(),
                     aCommand.claims.end(),
                     [](const auto& aClaim) {
                       return aClaim != nullptr && aClaim->endpoint != nullptr;
                     });
}

// Applies one gateway's claims to a copy of the table, so that claims without
// effect leave no trace.
class ClaimedLimits
{
public:
  ClaimedLimits(const state::ConfigImageT& aImage,
                const state::ClaimEndpointLimitsT& aCommand)
    : m_image(aImage)
    , m_command(aCommand)
  {
    for (const auto& limit : aImage.endpoint_limits) {
      m_limits.push_back(std::make_unique<state::EndpointLimitT>(*limit));
    }
  }

  // Returns whether the table has changed.
  bool Apply()
  {
    const std::size_t listed = m_limits.size();
    std::erase_if(m_limits, [this](const auto& aLimit) {
      return !IsListed(aLimit->id, aLimit->incarnation);
    });
    m_isChanged = m_limits.size() != listed;
    for (const auto& claim : m_command.claims) {
      if (IsListed(claim->endpoint->id, claim->endpoint->incarnation)) {
        ApplyClaim(*claim);
      }
    }
    return m_isChanged;
  }

  EntityList<state::EndpointLimitT> TakeLimits() { return std::move(m_limits); }

private:
  bool IsListed(const std::string& aId, std::uint64_t aIncarnation) const
  {
    const auto* endpoint = FindEntity(m_image.endpoints, aId);
    return endpoint != nullptr && endpoint->incarnation == aIncarnation;
  }

  void ApplyClaim(const state::LimitClaimT& aClaim)
  {
    const std::string& id = aClaim.endpoint->id;
    if (aClaim.notice == state::LimitNotice::Ended) {
      m_isChanged = m_isChanged || FindEntity(m_limits, id) != nullptr;
      RemoveEntity(m_limits, id);
      return;
    }
    if (aClaim.notice == state::LimitNotice::Named) {
      SetLimit(aClaim);
    }
    if (state::EndpointLimitT* limit = FindEntity(m_limits, id)) {
      SetShare(*limit, aClaim.demand);
    }
  }

  void SetLimit(const state::LimitClaimT& aClaim)
  {
    const std::uint64_t value = std::max(aClaim.per_1000_s, kMinLimitPer1000s);
    const state::EndpointLimitT* known =
      FindEntity(m_limits, aClaim.endpoint->id);
    if (known != nullptr && known->per_1000_s == value) {
      return;
    }
    state::EndpointLimitT limit =
      known != nullptr ? *known : state::EndpointLimitT{};
    limit.id = aClaim.endpoint->id;
    limit.incarnation = aClaim.endpoint->incarnation;
    limit.per_1000_s = value;
    while (limit.shares.size() > MaxLimitShares(limit)) {
      limit.shares.erase(FindWeakest(limit.shares));
    }
    PutEntity(m_limits, limit);
    m_isChanged = true;
  }

  void SetShare(state::EndpointLimitT& aLimit, std::uint32_t aDemand)
  {
    const std::size_t count = aLimit.shares.size();
    std::erase_if(aLimit.shares, [this](const auto& aShare) {
      return IsExpired(*aShare, m_command.unix_ms);
    });
    const bool hasShare = FindLimitShare(aLimit, m_command.gateway) != nullptr;
    if (aDemand == 0) {
      RemoveEntity(aLimit.shares, m_command.gateway);
      m_isChanged = m_isChanged || hasShare || aLimit.shares.size() != count;
      return;
    }
    const bool isGranted =
      hasShare || MayGetLimitShare(aLimit, aDemand, m_command.unix_ms);
    m_isChanged = m_isChanged || isGranted || aLimit.shares.size() != count;
    if (!isGranted) {
      return;
    }
    if (!hasShare && aLimit.shares.size() >= MaxLimitShares(aLimit)) {
      aLimit.shares.erase(FindWeakest(aLimit.shares));
    }
    state::LimitShareT share;
    share.gateway = m_command.gateway;
    share.demand = aDemand;
    share.unix_ms = m_command.unix_ms;
    PutEntity(aLimit.shares, share);
  }

  const state::ConfigImageT& m_image;
  const state::ClaimEndpointLimitsT& m_command;
  EntityList<state::EndpointLimitT> m_limits; // sorted by id
  bool m_isChanged = false;
};

} // namespace

void
ApplyClaimEndpointLimits(state::ConfigImageT& aImage,
                         const state::ClaimEndpointLimitsT& aCommand,
                         state::CommandResultT& aResult)
{
  if (!IsValid(aCommand)) {
    aResult.code = state::ResultCode::Invalid;
    aResult.text = "limit claims: expected a gateway and at most " +
                   std::to_string(kMaxLimitClaims) + " endpoints";
    return;
  }
  ClaimedLimits limits(aImage, aCommand);
  if (!limits.Apply()) {
    aResult.code = state::ResultCode::Duplicate;
    aResult.text = "the claims change no limit and no share";
    return;
  }
  aImage.endpoint_limits = limits.TakeLimits();
}

std::size_t
MaxLimitShares(const state::EndpointLimitT& aLimit)
{
  return 2 + static_cast<std::size_t>(aLimit.per_1000_s / kPer1000sForShare);
}

const state::LimitShareT*
FindLimitShare(const state::EndpointLimitT& aLimit, std::string_view aGateway)
{
  return FindEntity(aLimit.shares, aGateway);
}

double
LimitFractionOf(const state::EndpointLimitT& aLimit, std::string_view aGateway)
{
  const state::LimitShareT* own = FindLimitShare(aLimit, aGateway);
  if (own == nullptr) {
    return 0;
  }
  double sum = 0;
  for (const auto& share : aLimit.shares) {
    sum += share->demand;
  }
  const double equalWeight =
    kEqualWeight * sum / static_cast<double>(aLimit.shares.size());
  return (own->demand + equalWeight) / std::max((1 + kEqualWeight) * sum, 1.0);
}

bool
MayGetLimitShare(const state::EndpointLimitT& aLimit,
                 std::uint32_t aDemand,
                 std::uint64_t aUnixMs)
{
  const auto& shares = aLimit.shares;
  return aDemand != 0 &&
         (shares.size() < MaxLimitShares(aLimit) ||
          std::any_of(
            shares.begin(),
            shares.end(),
            [&](const auto& aShare) { return IsExpired(*aShare, aUnixMs); }) ||
          aDemand > kLimitShareFactor * (*FindWeakest(shares))->demand);
}

bool
HasSoundLimits(const state::ConfigImageT& aImage)
{
  return std::all_of(aImage.endpoint_limits.begin(),
                     aImage.endpoint_limits.end(),
                     [](const auto& aLimit) {
                       return IsSortedAndUnique(aLimit->shares) &&
                              std::all_of(aLimit->shares.begin(),
                                          aLimit->shares.end(),
                                          [](const auto& aShare) {
                                            return aShare->demand != 0;
                                          });
                     });
}

} // namespace parsleycove
