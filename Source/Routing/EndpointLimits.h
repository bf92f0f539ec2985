// Keeps one gateway to its part of the limits that endpoints have named.
//
// Load pattern: an endpoint names a limit in its answers, to some of the
// gateways that send it requests, while callers press on all of them. Gateways
// join, stop, freeze or are cut off from the control group; the limit rises,
// falls or ends.
//
// The limits and the division among the gateways are in the replicated state
// (State/EndpointLimitTable.h). A gateway that hears a limit first keeps to an
// equal part until the table has it. What a gateway that is cut off still sends
// is bounded by its lease, since its share is given away only after that.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Routing/RunnerTable.h"
#include "StateGenerated.h"

namespace parsleycove {

// A limit that this gateway has learnt, or that has ended.
struct LimitChange
{
  RunnerPtr m_runner;
  // Requests a second of all gateways; std::nullopt if the limit has ended.
  std::optional<double> m_perSecond;
  // This gateway's part.
  double m_ownPerSecond = 0;
};

// Not thread-safe; used by one thread.
class EndpointLimits
{
public:
  explicit EndpointLimits(std::string aGateway);

  // Records that an answer of the endpoint names a limit in requests a second.
  // aGateways: number of gateways in the fleet, at least 1.
  void RecordNamed(TimePoint aNow,
                   const RunnerPtr& aRunner,
                   double aPerSecond,
                   std::uint32_t aGateways);
  // Records a whole answer of the endpoint without a limit, to a request that
  // was sent at aSentAt. It ends the limit only if this gateway knew the limit
  // then: answers may overtake one another.
  void RecordUnnamed(TimePoint aNow, TimePoint aSentAt, const Runner& aRunner);
  // Records what the answer to a probe that was sent at aSentAt says. It makes
  // no limit known: a limit is about requests, and an engine that gets probes
  // only may name next to nothing. An engine may name its limit in answers to
  // requests only, so a probe without one ends a limit that probes were told,
  // or that no answer has named for long.
  void RecordProbe(TimePoint aNow,
                   TimePoint aSentAt,
                   const RunnerPtr& aRunner,
                   std::optional<double> aPerSecond,
                   std::uint32_t aGateways);
  // Applies the table of the replicated state to the quotas of the endpoints.
  // The table forgets an endpoint that is not listed. Its limit is kept as long
  // as aRunners remembers the endpoint, and told to the table once it is listed
  // again.
  void Apply(TimePoint aNow,
             const state::ConfigImageT& aImage,
             const RunnerTable& aRunners,
             std::uint32_t aGateways);
  // Returns the engines whose limit this gateway shares and that have not
  // answered it for a while: as a later stage of its paths an engine gets
  // requests that it does not answer itself, so its limit would never end.
  std::vector<RunnerPtr> TakeSilent(TimePoint aNow);
  // Returns the changes since the last call, for the log.
  std::vector<LimitChange> TakeChanges();
  // Returns what is due to be told to the control group, or std::nullopt. In a
  // large fleet each gateway asks less often.
  std::optional<state::ClaimEndpointLimitsT> TakeClaims(
    TimePoint aNow,
    const state::ConfigImageT& aImage,
    std::uint32_t aGateways);

private:
  // A limit that is in the table, or that this gateway has heard of.
  struct Known
  {
    RunnerPtr m_runner;
    // Of all gateways.
    double m_perSecond = 0;
    TimePoint m_knownSince{};
    // When an answer last named it, or TakeSilent() last returned the endpoint.
    TimePoint m_heardAt{};
    // When an answer last named it, or the table first had it.
    TimePoint m_namedAt{};
    bool m_isListed = true;
    // Kept while the endpoint was not listed, and not named since: the table's
    // value is newer.
    bool m_isRemembered = false;
    // An answer to a probe has named it.
    bool m_isToldToProbes = false;
    // What the control group has not confirmed yet.
    state::LimitNotice m_news = state::LimitNotice::None;
    TimePoint m_claimedAt{};
    bool m_isClaimed = false;
  };

  // Returns true if the endpoint has a limit, as far as this gateway knows.
  bool Knows(const Runner& aRunner) const;
  Known& FindOrAdd(TimePoint aNow, const RunnerPtr& aRunner);
  void ApplyEntry(TimePoint aNow,
                  const state::EndpointLimitT& aLimit,
                  const RunnerPtr& aRunner);
  // Returns false if what is known is to be forgotten. aLimit: the table's
  // entry, nullptr if there is none.
  bool Follow(TimePoint aNow,
              Known& aKnown,
              const RunnerTable& aRunners,
              const state::EndpointLimitT* aLimit,
              std::uint32_t aGateways);
  void SetValue(Known& aKnown, double aPerSecond);
  void AddChange(const Known& aKnown, std::optional<double> aPerSecond);
  // Returns true if the table's share of this gateway does not fit its demand.
  bool NeedsShare(TimePoint aNow,
                  const Known& aKnown,
                  const state::EndpointLimitT& aLimit) const;
  state::LimitClaimT MakeClaim(TimePoint aNow, const Known& aKnown) const;

  const std::string m_gateway;
  // By endpoint id.
  std::map<std::string, Known> m_known;
  std::vector<LimitChange> m_changes;
};

} // namespace parsleycove
