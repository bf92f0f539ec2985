// Limits that the back ends of a soak name, and whether they are kept.
#include "Soak/SoakLimits.h"

#include <algorithm>
#include <numeric>
#include <utility>

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

std::size_t
Sum(const std::map<std::string, std::size_t>& aCounts)
{
  return std::accumulate(
    aCounts.begin(),
    aCounts.end(),
    std::size_t{ 0 },
    [](std::size_t aSum, const auto& aCount) { return aSum + aCount.second; });
}

std::string
Describe(const std::map<std::string, std::size_t>& aCounts)
{
  std::string text;
  for (const auto& [entry, count] : aCounts) {
    text += " " + std::to_string(count) + " from " + entry;
  }
  return text;
}

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

std::map<std::string, std::size_t>
SoakLimits::CountFrom(const Limit& aLimit,
                      TimePoint aBegin,
                      const SoakHarms& aHarms,
                      const SoakHarms& aStops)
{
  const TimePoint end = aBegin + kWindowS;
  std::map<std::string, TimePoint> first;
  std::map<std::string, std::size_t> counts;
  for (const Request& request : aLimit.m_requests) {
    const auto told = first.try_emplace(request.m_entry, request.m_at).first;
    if (request.m_at >= aBegin && request.m_at < end &&
        told->second + kToldMs <= request.m_at &&
        !aHarms.Meets(request.m_entry, aBegin - kWindowS, end) &&
        !aStops.Meets(request.m_entry, aBegin - kWindowS, end)) {
      ++counts[request.m_entry];
    }
  }
  return counts;
}

std::map<std::string, std::size_t>
SoakLimits::CountFullest(const Limit& aLimit,
                         const SoakHarms& aHarms,
                         const SoakHarms& aStops,
                         TimePoint& aBegin)
{
  std::map<std::string, std::size_t> fullest;
  for (const Request& request : aLimit.m_requests) {
    if (request.m_at >= aLimit.m_requests.front().m_at + kStableS) {
      auto counts = CountFrom(aLimit, request.m_at, aHarms, aStops);
      if (Sum(counts) > Sum(fullest)) {
        fullest = std::move(counts);
        aBegin = request.m_at;
      }
    }
  }
  return fullest;
}

std::vector<std::string>
SoakLimits::FindBreaches(const SoakHarms& aHarms, const SoakHarms& aStops) const
{
  std::vector<std::string> breaches;
  for (const auto& [backend, limit] : m_limits) {
    TimePoint begin{};
    const auto fullest = CountFullest(limit, aHarms, aStops, begin);
    const double allowed =
      kFactor * limit.m_perSecond * kWindowS.count() + kSlack;
    if (static_cast<double>(Sum(fullest)) > allowed) {
      breaches.push_back(
        backend + " named a limit of " + std::to_string(limit.m_perSecond) +
        " a second and got " + std::to_string(Sum(fullest)) +
        " requests in 4 s, from " +
        std::to_string(
          std::chrono::duration<double>(begin - limit.m_from).count()) +
        " s after it named it:" + Describe(fullest));
    }
  }
  return breaches;
}

} // namespace parsleycove
