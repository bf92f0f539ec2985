// Keeps one gateway to its part of the limits that endpoints have named.
#include "Routing/EndpointLimits.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

#include "State/EndpointLimitTable.h"
#include "State/NamedEntities.h"

namespace parsleycove {

namespace {

constexpr double kPer1000s = 1000;
constexpr double kMaxPerSecond = 1e9;
// A claim that the table does not show after this time is made again.
constexpr Duration kConfirmTime = std::chrono::seconds(1);
// Time between two claims of one gateway for one endpoint.
constexpr Duration kMinClaimInterval = std::chrono::milliseconds(400);
constexpr Duration kClaimIntervalPerGateway = std::chrono::milliseconds(20);
// A share is claimed again after this time, before others may take it.
constexpr Duration kRenewInterval = std::chrono::seconds(4);
// A share is claimed anew when the demand has changed by this factor.
constexpr double kDemandFactor = 1.5;
// Silence after which an engine is asked whether its limit goes on.
constexpr Duration kMaxSilence = std::chrono::seconds(2);
// A limit that no answer has named for this time ends with the next probe.
constexpr Duration kMaxUnnamed = std::chrono::seconds(30);
// With less demand a gateway gives its share up: about 20 s after a single
// request.
constexpr double kLeastDemand = 0.004;

std::uint64_t
ToPer1000s(double aPerSecond)
{
  return std::max(kMinLimitPer1000s,
                  static_cast<std::uint64_t>(
                    std::clamp(aPerSecond, 0.0, kMaxPerSecond) * kPer1000s));
}

std::uint32_t
DemandPer1000s(TimePoint aNow, const Runner& aRunner)
{
  const double demand = aRunner.m_load->Quota().DemandPerSecond(aNow);
  return demand < kLeastDemand
           ? 0
           : static_cast<std::uint32_t>(std::lround(
               std::min(demand, kMaxPerSecond / kPer1000s) * kPer1000s));
}

} // namespace

EndpointLimits::EndpointLimits(std::string aGateway)
  : m_gateway(std::move(aGateway))
{
}

EndpointLimits::Known&
EndpointLimits::FindOrAdd(TimePoint aNow, const RunnerPtr& aRunner)
{
  Known& known = m_known[aRunner->m_id];
  if (!known.m_runner ||
      known.m_runner->m_incarnation != aRunner->m_incarnation) {
    known = Known{};
    known.m_knownSince = aNow;
    known.m_heardAt = aNow;
    known.m_namedAt = aNow;
  }
  known.m_runner = aRunner;
  return known;
}

bool
EndpointLimits::Knows(const Runner& aRunner) const
{
  const auto entry = m_known.find(aRunner.m_id);
  return entry != m_known.end() &&
         entry->second.m_runner->m_incarnation == aRunner.m_incarnation &&
         entry->second.m_news != state::LimitNotice::Ended;
}

std::vector<RunnerPtr>
EndpointLimits::TakeSilent(TimePoint aNow)
{
  std::vector<RunnerPtr> silent;
  for (auto& [id, known] : m_known) {
    const RequestQuota& quota = known.m_runner->m_load->Quota();
    if (known.m_isListed &&
        known.m_runner->m_kind == state::EndpointKind::ManagedEngine &&
        aNow - known.m_heardAt >= kMaxSilence && quota.IsLimited() &&
        quota.PerSecond() > 0) {
      known.m_heardAt = aNow;
      silent.push_back(known.m_runner);
    }
  }
  return silent;
}

void
EndpointLimits::AddChange(const Known& aKnown, std::optional<double> aPerSecond)
{
  m_changes.push_back({ aKnown.m_runner,
                        aPerSecond,
                        aKnown.m_runner->m_load->Quota().PerSecond() });
}

void
EndpointLimits::SetValue(Known& aKnown, double aPerSecond)
{
  if (aKnown.m_perSecond != aPerSecond) {
    aKnown.m_perSecond = aPerSecond;
    AddChange(aKnown, aPerSecond);
  }
}

void
EndpointLimits::RecordNamed(TimePoint aNow,
                            const RunnerPtr& aRunner,
                            double aPerSecond,
                            std::uint32_t aGateways)
{
  const auto entry = m_known.find(aRunner->m_id);
  if (entry != m_known.end() &&
      entry->second.m_runner->m_incarnation > aRunner->m_incarnation) {
    return; // a late answer of an older start
  }
  const double value = static_cast<double>(ToPer1000s(aPerSecond)) / kPer1000s;
  Known& known = FindOrAdd(aNow, aRunner);
  known.m_heardAt = aNow;
  known.m_namedAt = aNow;
  known.m_isRemembered = false;
  if (known.m_perSecond == value && known.m_news != state::LimitNotice::Ended) {
    return;
  }
  RequestQuota& quota = aRunner->m_load->Quota();
  // Until the table has the limit, the own part of it stays.
  const double fraction = quota.IsLimited() && known.m_perSecond > 0
                            ? quota.PerSecond() / known.m_perSecond
                            : 1.0 / std::max(1U, aGateways);
  quota.SetRate(aNow, value * fraction);
  known.m_news = state::LimitNotice::Named;
  known.m_isClaimed = false;
  SetValue(known, value);
}

void
EndpointLimits::RecordUnnamed(TimePoint aNow,
                              TimePoint aSentAt,
                              const Runner& aRunner)
{
  const auto entry = m_known.find(aRunner.m_id);
  if (entry == m_known.end()) {
    return;
  }
  Known& known = entry->second;
  if (known.m_runner->m_incarnation != aRunner.m_incarnation ||
      known.m_news == state::LimitNotice::Ended ||
      aSentAt <= known.m_knownSince) {
    return;
  }
  known.m_news = state::LimitNotice::Ended;
  known.m_isClaimed = false;
  known.m_knownSince = aNow;
  known.m_perSecond = 0;
  aRunner.m_load->Quota().RemoveLimit();
  AddChange(known, std::nullopt);
}

void
EndpointLimits::RecordProbe(TimePoint aNow,
                            TimePoint aSentAt,
                            const RunnerPtr& aRunner,
                            std::optional<double> aPerSecond,
                            std::uint32_t aGateways)
{
  if (!Knows(*aRunner)) {
    return;
  }
  Known& known = m_known.at(aRunner->m_id);
  if (aPerSecond) {
    known.m_isToldToProbes = true;
    RecordNamed(aNow, aRunner, *aPerSecond, aGateways);
  } else if (known.m_isToldToProbes || aNow - known.m_namedAt > kMaxUnnamed) {
    RecordUnnamed(aNow, aSentAt, *aRunner);
  }
}

void
EndpointLimits::Apply(TimePoint aNow,
                      const state::ConfigImageT& aImage,
                      const RunnerTable& aRunners,
                      std::uint32_t aGateways)
{
  for (const auto& limit : aImage.endpoint_limits) {
    const RunnerPtr runner(aRunners.FindRunner(limit->id));
    if (runner && runner->m_incarnation == limit->incarnation) {
      ApplyEntry(aNow, *limit, runner);
    }
  }
  for (auto entry = m_known.begin(); entry != m_known.end();) {
    const auto* limit = FindEntity(aImage.endpoint_limits, entry->first);
    const bool isKept = Follow(aNow, entry->second, aRunners, limit, aGateways);
    entry = isKept ? std::next(entry) : m_known.erase(entry);
  }
}

bool
EndpointLimits::Follow(TimePoint aNow,
                       Known& aKnown,
                       const RunnerTable& aRunners,
                       const state::EndpointLimitT* aLimit,
                       std::uint32_t aGateways)
{
  const Runner& start = *aKnown.m_runner;
  const Runner* listed = aRunners.FindRunner(start.m_id);
  aKnown.m_isListed = listed != nullptr;
  if (listed == nullptr) {
    if (aKnown.m_news == state::LimitNotice::None) {
      aKnown.m_news = state::LimitNotice::Named;
      aKnown.m_isRemembered = true;
    }
    aKnown.m_isClaimed = false;
    return aRunners.FindStart(start.m_id, start.m_incarnation) != nullptr;
  }
  if (listed->m_incarnation != start.m_incarnation) {
    return false;
  }
  aKnown.m_runner = RunnerPtr(listed);
  if (aLimit != nullptr && aLimit->incarnation == listed->m_incarnation) {
    return true;
  }
  RequestQuota& quota = listed->m_load->Quota();
  if (aKnown.m_news == state::LimitNotice::Named) {
    quota.SetRate(aNow, aKnown.m_perSecond / std::max(1U, aGateways));
    return true;
  }
  if (aKnown.m_news == state::LimitNotice::None) {
    AddChange(aKnown, std::nullopt);
  }
  quota.RemoveLimit();
  return false;
}

void
EndpointLimits::ApplyEntry(TimePoint aNow,
                           const state::EndpointLimitT& aLimit,
                           const RunnerPtr& aRunner)
{
  Known& known = FindOrAdd(aNow, aRunner);
  const double value = static_cast<double>(aLimit.per_1000_s) / kPer1000s;
  if (known.m_news == state::LimitNotice::Ended) {
    return;
  }
  if (known.m_news == state::LimitNotice::Named &&
      (known.m_perSecond == value || known.m_isRemembered)) {
    known.m_news = state::LimitNotice::None;
  }
  known.m_isRemembered = false;
  const bool isNews = known.m_news == state::LimitNotice::Named;
  const double perSecond = isNews ? known.m_perSecond : value;
  aRunner->m_load->Quota().SetRate(
    aNow, perSecond * LimitFractionOf(aLimit, m_gateway));
  SetValue(known, perSecond);
}

std::vector<LimitChange>
EndpointLimits::TakeChanges()
{
  return std::exchange(m_changes, {});
}

bool
EndpointLimits::NeedsShare(TimePoint aNow,
                           const Known& aKnown,
                           const state::EndpointLimitT& aLimit) const
{
  const std::uint32_t demand = DemandPer1000s(aNow, *aKnown.m_runner);
  const state::LimitShareT* own = FindLimitShare(aLimit, m_gateway);
  if (own == nullptr) {
    // The time of day in the table is the leader's, and so is not compared.
    return demand != 0 && (MayGetLimitShare(aLimit, demand, 0) ||
                           aNow - aKnown.m_claimedAt >= kRenewInterval);
  }
  return demand > own->demand * kDemandFactor ||
         demand * kDemandFactor < own->demand ||
         aNow - aKnown.m_claimedAt >= kRenewInterval;
}

state::LimitClaimT
EndpointLimits::MakeClaim(TimePoint aNow, const Known& aKnown) const
{
  state::LimitClaimT claim;
  claim.endpoint = std::make_unique<state::EndpointRefT>();
  claim.endpoint->id = aKnown.m_runner->m_id;
  claim.endpoint->incarnation = aKnown.m_runner->m_incarnation;
  claim.notice = aKnown.m_news;
  claim.per_1000_s = ToPer1000s(aKnown.m_perSecond);
  claim.demand = DemandPer1000s(aNow, *aKnown.m_runner);
  return claim;
}

std::optional<state::ClaimEndpointLimitsT>
EndpointLimits::TakeClaims(TimePoint aNow,
                           const state::ConfigImageT& aImage,
                           std::uint32_t aGateways)
{
  const Duration interval =
    std::max<Duration>(kMinClaimInterval, kClaimIntervalPerGateway * aGateways);
  state::ClaimEndpointLimitsT claims;
  claims.gateway = m_gateway;
  for (auto& [id, known] : m_known) {
    if (!known.m_isListed) {
      continue; // the table would pass the claim over
    }
    const auto* limit = FindEntity(aImage.endpoint_limits, id);
    const bool hasNews = known.m_news != state::LimitNotice::None;
    const Duration age = aNow - known.m_claimedAt;
    const bool isDue = hasNews ? !known.m_isClaimed || age >= kConfirmTime
                               : limit != nullptr && age >= interval &&
                                   NeedsShare(aNow, known, *limit);
    if (isDue && claims.claims.size() < kMaxLimitClaims) {
      claims.claims.push_back(
        std::make_unique<state::LimitClaimT>(MakeClaim(aNow, known)));
      known.m_claimedAt = aNow;
      known.m_isClaimed = true;
    }
  }
  return claims.claims.empty() ? std::nullopt
                               : std::optional(std::move(claims));
}

} // namespace parsleycove
