// Proposals of this leader that wait for their entry to be applied.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "StateGenerated.h"

namespace parsleycove {

// Matches applied entries with proposals by index and term.
class ProposalTable
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
  bool IsEmpty() const { return m_waiting.empty(); }

private:
  struct Waiting
  {
    std::uint64_t m_term = 0;
    Handler m_handler;
  };

  std::map<std::uint64_t, Waiting> m_waiting; // by index
};

} // namespace parsleycove
