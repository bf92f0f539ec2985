// Limits that the back ends of a soak name, and whether they are kept.
#include "Soak/SoakLimits.h"

#include <algorithm>

namespace parsleycove {

namespace {

// The users' rule: from the first time on after a back end first named its
// limit, it gets no more in any window than one and a half times what the limit
// allows, and some requests more, from VMs that heard of it the second time
// before.
constexpr std::chrono::seconds kStableS{ 3 };
constexpr std::chrono::seconds kWindowS{ 4 };
constexpr std::chrono::milliseconds kToldMs{ 500 };
constexpr double kFactor = 1.5;
constexpr double kSlack = 5;

} // namespace

void
SoakLimits::NoteLimit(const std::string& aBackend,
                      double aPerSecond,
                      TimePoint aFrom,
                      TimePoint aTo)
{
  m_limits[aBackend] = { aPerSecond, aFrom, aTo, {} };
}

void
SoakLimits::NoteRequest(const std::string& aBackend,
                        const std::string& aEntry,
                        TimePoint aNow)
{
  const auto limit = m_limits.find(aBackend);
  if (limit != m_limits.end() && aNow >= limit->second.m_from &&
      aNow <= limit->second.m_to) {
    limit->second.m_requests.push_back({ aEntry, aNow });
  }
}

int
SoakLimits::Requests() const
{
  std::size_t count = 0;
  for (const auto& [backend, limit] : m_limits) {
    count += limit.m_requests.size();
  }
  return static_cast<int>(count);
}

std::size_t
SoakLimits::CountFrom(const Limit& aLimit,
                      TimePoint aBegin,
                      const SoakHarms& aHarms,
                      const SoakHarms& aStops)
{
  const auto& requests = aLimit.m_requests;
  return static_cast<std::size_t>(std::count_if(
    requests.begin(), requests.end(), [&](const Request& aRequest) {
      const auto first = std::find_if(
        requests.begin(), requests.end(), [&](const Request& aOther) {
          return aOther.m_entry == aRequest.m_entry;
        });
      const TimePoint end = aBegin + kWindowS;
      return aRequest.m_at >= aBegin && aRequest.m_at < end &&
             first->m_at + kToldMs <= aRequest.m_at &&
             !aHarms.Meets(aRequest.m_entry, aBegin - kWindowS, end) &&
             !aStops.Meets(aRequest.m_entry, aBegin - kWindowS, end);
    }));
}

std::vector<std::string>
SoakLimits::FindBreaches(const SoakHarms& aHarms, const SoakHarms& aStops) const
{
  std::vector<std::string> breaches;
  for (const auto& [backend, limit] : m_limits) {
    std::size_t most = 0;
    for (const Request& request : limit.m_requests) {
      if (request.m_at >= limit.m_requests.front().m_at + kStableS) {
        most = std::max(most, CountFrom(limit, request.m_at, aHarms, aStops));
      }
    }
    const double allowed =
      kFactor * limit.m_perSecond * kWindowS.count() + kSlack;
    if (static_cast<double>(most) > allowed) {
      breaches.push_back(
        backend + " named a limit of " + std::to_string(limit.m_perSecond) +
        " a second and got " + std::to_string(most) + " requests in 4 s");
    }
  }
  return breaches;
}

} // namespace parsleycove
