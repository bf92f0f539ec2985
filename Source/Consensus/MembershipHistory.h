// The memberships in the log, by the index of their log entry.
#pragma once

#include <cstdint>
#include <vector>

#include "ConsensusGenerated.h"

namespace parsleycove {

// A membership is in force as soon as its entry is appended, before it commits.
// Truncating the entry therefore restores the previous membership.
class MembershipHistory
{
public:
  const consensus::MembershipT& Latest() const;
  // Returns the index of the latest membership's entry, or 0 if there is none.
  std::uint64_t LatestIndex() const;
  // Returns the membership in force at an index of the log.
  const consensus::MembershipT& At(std::uint64_t aIndex) const;

  void Add(std::uint64_t aIndex, consensus::MembershipT aMembership);
  // Adds the membership of an entry of that kind; ignores other entries.
  void AddEntry(const consensus::EntryT& aEntry);
  void TruncateFrom(std::uint64_t aIndex);
  // Discards memberships that were replaced at aIndex or before.
  void Compact(std::uint64_t aIndex);
  void Reset(std::uint64_t aIndex, consensus::MembershipT aMembership);

private:
  struct Row
  {
    std::uint64_t m_index = 0;
    consensus::MembershipT m_membership;
  };

  std::vector<Row> m_rows; // sorted by index
  consensus::MembershipT m_none;
};

} // namespace parsleycove
