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

  // Returns the requests that count in the window from aBegin, by entry VM.
  static std::map<std::string, std::size_t> CountFrom(const Limit& aLimit,
                                                      TimePoint aBegin,
                                                      const SoakHarms& aHarms,
                                                      const SoakHarms& aStops);
  // Returns the same for the window with the most of them, and where it begins.
  static std::map<std::string, std::size_t> CountFullest(
    const Limit& aLimit,
    const SoakHarms& aHarms,
    const SoakHarms& aStops,
    TimePoint& aBegin);

  std::map<std::string, Limit> m_limits;
};

} // namespace parsleycove
