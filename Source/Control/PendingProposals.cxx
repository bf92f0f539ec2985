// Proposals of this leader that wait for their entry to be applied.
#include "Control/PendingProposals.h"

#include <utility>

namespace parsleycove {

void
ProposalTable::Add(std::uint64_t aIndex, std::uint64_t aTerm, Handler aHandler)
{
  m_waiting[aIndex] = { aTerm, std::move(aHandler) };
}

void
ProposalTable::Resolve(std::uint64_t aIndex,
                       std::uint64_t aTerm,
                       const state::CommandResultT& aResult)
{
  const auto found = m_waiting.find(aIndex);
  if (found == m_waiting.end()) {
    return;
  }
  const Waiting waiting = std::move(found->second);
  m_waiting.erase(found);
  if (waiting.m_term == aTerm) {
    waiting.m_handler(aResult);
  } else {
    waiting.m_handler(std::nullopt);
  }
}

void
ProposalTable::FailAll()
{
  for (const auto& [index, waiting] : std::exchange(m_waiting, {})) {
    waiting.m_handler(std::nullopt);
  }
}

} // namespace parsleycove
