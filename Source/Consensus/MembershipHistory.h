// The memberships that the log holds, by the index of their entry.
#pragma once

#include <cstdint>
#include <vector>

#include "ConsensusGenerated.h"

namespace parsleycove {

// A membership counts from its entry's append on, so that a truncated entry
// brings the one before it back.
class MembershipHistory
{
public:
  const consensus::MembershipT& Latest() const;
  // Index of the latest membership's entry.
  std::uint64_t LatestIndex() const;
  // The membership that holds at an index of the log.
  const consensus::MembershipT& At(std::uint64_t aIndex) const;

  void Add(std::uint64_t aIndex, consensus::MembershipT aMembership);
  // Takes the entry's membership if it is of that kind.
  void AddEntry(const consensus::EntryT& aEntry);
  void TruncateFrom(std::uint64_t aIndex);
  void Compact(std::uint64_t aIndex);
  void Reset(std::uint64_t aIndex, consensus::MembershipT aMembership);

private:
  struct Row
  {
    std::uint64_t m_index = 0;
    consensus::MembershipT m_membership;
  };

  std::vector<Row> m_rows; // by rising index
  consensus::MembershipT m_none;
};

} // namespace parsleycove
