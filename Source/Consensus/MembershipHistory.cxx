// The memberships in the log, by the index of their log entry.
#include "Consensus/MembershipHistory.h"

#include "Consensus/MembershipRules.h"

namespace parsleycove {

const consensus::MembershipT&
MembershipHistory::Latest() const
{
  return m_rows.empty() ? m_none : m_rows.back().m_membership;
}

std::uint64_t
MembershipHistory::LatestIndex() const
{
  return m_rows.empty() ? 0 : m_rows.back().m_index;
}

const consensus::MembershipT&
MembershipHistory::At(std::uint64_t aIndex) const
{
  const consensus::MembershipT* found = &m_none;
  for (const Row& row : m_rows) {
    if (row.m_index <= aIndex) {
      found = &row.m_membership;
    }
  }
  return *found;
}

void
MembershipHistory::Add(std::uint64_t aIndex, consensus::MembershipT aMembership)
{
  m_rows.push_back({ aIndex, std::move(aMembership) });
}

void
MembershipHistory::AddEntry(const consensus::EntryT& aEntry)
{
  if (aEntry.kind != consensus::EntryKind::Membership) {
    return;
  }
  if (auto membership = DecodeMembership(aEntry.data)) {
    Add(aEntry.index, std::move(*membership));
  }
}

void
MembershipHistory::TruncateFrom(std::uint64_t aIndex)
{
  while (!m_rows.empty() && m_rows.back().m_index >= aIndex) {
    m_rows.pop_back();
  }
}

void
MembershipHistory::Compact(std::uint64_t aIndex)
{
  while (m_rows.size() > 1 && m_rows[1].m_index <= aIndex) {
    m_rows.erase(m_rows.begin());
  }
}

void
MembershipHistory::Reset(std::uint64_t aIndex,
                         consensus::MembershipT aMembership)
{
  m_rows.clear();
  Add(aIndex, std::move(aMembership));
}

} // namespace parsleycove
