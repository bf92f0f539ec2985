// Proposals of this leader that wait for their entry to be applied.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "StateGenerated.h"

namespace parsleycove {

// Matches applied entries with proposals by index and term.
class PendingProposals
{
public:
  // Empty: the leadership was lost, the outcome is unknown.
  using Handler = std::function<void(std::optional<state::CommandResultT>)>;

  void Add(std::uint64_t aIndex, std::uint64_t aTerm, Handler aHandler);
  // An entry was applied; one of another term has taken the proposal's place.
  void Resolve(std::uint64_t aIndex,
               std::uint64_t aTerm,
               const state::CommandResultT& aResult);
  // Ends every proposal with an unknown outcome.
  void FailAll();
  bool IsEmpty() const { return m_pending.empty(); }

private:
  struct Proposal
  {
    std::uint64_t m_term = 0;
    Handler m_handler;
  };

  std::map<std::uint64_t, Proposal> m_pending; // by index
};

} // namespace parsleycove
