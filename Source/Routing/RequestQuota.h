// Holds what one gateway may still send to an endpoint that has named a limit.
//
// Load pattern: callers press on an endpoint that takes fewer requests than
// usual. They arrive unevenly, so a few requests may be saved up, but not so
// many that all gateways together overrun the endpoint at once.
#pragma once

#include "Base/Clock.h"
#include "Routing/RequestRate.h"

namespace parsleycove {

// A token bucket: each request takes one token.
//
// Not thread-safe; used by one thread. Time is a clock that goes on during a
// suspension, so that a gateway that wakes up has at most what it may save up.
//
// Invariant: the tokens are at most Capacity().
class RequestQuota
{
public:
  // Without a limit requests take no tokens.
  bool IsLimited() const { return m_isLimited; }
  // Sets this gateway's part of the limit in requests a second. A quota begins
  // without tokens: what the endpoint got before is not known.
  void SetRate(TimePoint aNow, double aPerSecond);
  void RemoveLimit() { m_isLimited = false; }
  double PerSecond() const { return m_perSecond; }

  bool MayTake(TimePoint aNow) const;
  void Take(TimePoint aNow);
  // Returns the token of a request that was not sent.
  void GiveBack(TimePoint aNow);
  // Returns when the next request may be sent, at most kMaxWait from now: by
  // then the gateway may have another part of the limit.
  TimePoint NextAt(TimePoint aNow) const;

  // Records that a request would go to the endpoint if it had no limit.
  void RecordDemand(TimePoint aNow) { m_demand.Record(aNow); }
  double DemandPerSecond(TimePoint aNow) const
  {
    return m_demand.PerSecond(aNow);
  }

  static constexpr Duration kMaxWait = std::chrono::seconds(2);

private:
  double Tokens(TimePoint aNow) const;
  // One request, and what the rate gives in a second.
  double Capacity() const { return 1 + m_perSecond; }

  bool m_isLimited = false;
  double m_perSecond = 0;
  // Tokens at m_at.
  double m_tokens = 0;
  TimePoint m_at{};
  RequestRate m_demand;
};

} // namespace parsleycove
