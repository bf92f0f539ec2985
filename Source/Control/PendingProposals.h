// Holds this leader's proposals until their log entries are applied.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "StateGenerated.h"

namespace parsleycove {

enum class ProposalIntake
{
  Taken,
  NotLeader, // or, for a routing document, too few voters
  Full,      // too many bytes of the leader's log are not committed
};

// Matches applied entries with proposals by log index and term.
class PendingProposals
{
public:
  // Receives the result, or std::nullopt if the outcome is unknown because the
  // leadership was lost.
  using Handler = std::function<void(std::optional<state::CommandResultT>)>;

  void Add(std::uint64_t aIndex, std::uint64_t aTerm, Handler aHandler);
  // Called for each applied entry. An entry of another term means that the
  // proposal was replaced in the log; its handler gets std::nullopt.
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

  std::map<std::uint64_t, Proposal> m_pending; // by log index
};

} // namespace parsleycove
