// Limits that the back ends of a soak name, and whether they are kept.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Soak/SoakHarms.h"

namespace parsleycove {

class SoakLimits
{
public:
  // The back end names the limit, in requests a second, in all its answers
  // between the two times.
  void NoteLimit(const std::string& aBackend,
                 double aPerSecond,
                 TimePoint aFrom,
                 TimePoint aTo);
  // A request reaches the back end from an entry VM.
  void NoteRequest(const std::string& aBackend,
                   const std::string& aEntry,
                   TimePoint aNow);
  // Returns one text for each limit that was not kept. A VM that was harmed or
  // stopped around the time looked at does not count.
  std::vector<std::string> FindBreaches(const SoakHarms& aHarms,
                                        const SoakHarms& aStops) const;
  // Requests that reached back ends while these named a limit.
  int Requests() const;

private:
  struct Request
  {
    std::string m_entry;
    TimePoint m_at{};
  };
  struct Limit
  {
    double m_perSecond = 0;
    TimePoint m_from{};
    TimePoint m_to{};
    std::vector<Request> m_requests;
  };

  static std::size_t CountFrom(const Limit& aLimit,
                               TimePoint aBegin,
                               const SoakHarms& aHarms,
                               const SoakHarms& aStops);

  std::map<std::string, Limit> m_limits;
};

} // namespace parsleycove
