// Entry VMs of a soak that lose their links to back ends, while callers,
// control VMs and the other entry VMs still reach them, and whether their
// callers are served.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Soak/FaultProxy.h"
#include "Soak/SoakFleet.h"
#include "Soak/SoakLedger.h"

namespace parsleycove {

class SoakCuts
{
public:
  SoakCuts(SoakFleet& aFleet, SoakLedger& aLedger, std::size_t aEntries)
    : m_entries(aEntries)
    , m_fleet(aFleet)
    , m_ledger(aLedger)
  {
  }

  // Cuts the VM off from all back ends (aIsWhole) or from half of them.
  void Cut(std::size_t aEntry, LinkFault aFault, bool aIsWhole);
  void Heal(std::size_t aEntry);
  // Returns the fault of a connection to the back end from this local port.
  LinkFault FaultOf(std::size_t aBackend,
                    std::uint16_t aPort,
                    std::uint16_t aPeerPort);
  bool IsCut(std::size_t aEntry) const { return m_cuts.contains(aEntry); }

  // Returns a text if callers of VMs that were cut off from all back ends for
  // longer than aSettling were served less than two thirds as often as those of
  // the others meanwhile, and more than 10 and one in 50 of all were not. Those
  // of VMs that were harmed or stopped meanwhile do not count.
  std::vector<std::string> FindBreaches(const SoakLedger& aLedger,
                                        Duration aSettling) const;
  // Requests at VMs that were cut off, and those of them that were served.
  std::string Describe(const SoakLedger& aLedger, Duration aSettling) const;

private:
  struct ActiveCut
  {
    LinkFault m_fault{};
    bool m_isWhole = false;
    TimePoint m_from{};
  };
  struct Span
  {
    std::size_t m_entry = 0;
    TimePoint m_from{};
    TimePoint m_to{};
  };
  struct Counts
  {
    int m_cut = 0;
    int m_cutServed = 0;
    int m_others = 0;
    int m_othersServed = 0;
  };

  Counts Count(const SoakLedger& aLedger, Duration aSettling) const;

  // Returns true if some VM had all its links and was not harmed or stopped.
  bool HasVmInTouch(const SoakLedger& aLedger,
                    TimePoint aFrom,
                    TimePoint aTo) const;

  const std::size_t m_entries;
  SoakFleet& m_fleet;
  SoakLedger& m_ledger;
  // By entry VM.
  std::map<std::size_t, ActiveCut> m_cuts;
  std::vector<Span> m_spans;
};

} // namespace parsleycove
