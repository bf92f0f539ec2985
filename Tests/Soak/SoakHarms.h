// When the soak harmed which process, link or back end, and when a back end was
// only silent.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Base/Clock.h"

namespace parsleycove {

class SoakHarms
{
public:
  // aWho: an entry VM with its link, or the address of a back end.
  void Note(const std::string& aWho, TimePoint aFrom, TimePoint aTo);
  // Returns true if one of the noted times meets the given one.
  bool Meets(const std::string& aWho, TimePoint aFrom, TimePoint aTo) const;

private:
  struct Span
  {
    TimePoint m_from{};
    TimePoint m_to{};
  };

  std::map<std::string, std::vector<Span>> m_spans;
};

} // namespace parsleycove
