// Proposals of this leader that wait for their entry to be applied.
#include "Control/PendingProposals.h"

#include <utility>

namespace parsleycove {

void
PendingProposals::Add(std::uint64_t aIndex,
                      std::uint64_t aTerm,
                      Handler aHandler)
{
  m_pending[aIndex] = { aTerm, std::move(aHandler) };
}

void
PendingProposals::Resolve(std::uint64_t aIndex,
                          std::uint64_t aTerm,
                          const state::CommandResultT& aResult)
{
  const auto found = m_pending.find(aIndex);
  if (found == m_pending.end()) {
    return;
  }
  const Proposal proposal = std::move(found->second);
  m_pending.erase(found);
  if (proposal.m_term == aTerm) {
    proposal.m_handler(aResult);
  } else {
    proposal.m_handler(std::nullopt);
  }
}

void
PendingProposals::FailAll()
{
  for (const auto& [index, proposal] : std::exchange(m_pending, {})) {
    proposal.m_handler(std::nullopt);
  }
}

} // namespace parsleycove
