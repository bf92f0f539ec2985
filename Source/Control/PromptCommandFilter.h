// Decides which commands about prompt parts the leader proposes to the log.
//
// Handles the load of a crash that every gateway reports at once, and of a part
// that every gateway clears or tries at once: only commands that change the
// table become log entries.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "Base/Clock.h"
#include "StateGenerated.h"

namespace parsleycove {

class PromptCommandFilter
{
public:
  // Returns std::nullopt if the command is to be proposed, and records it as
  // proposed. Otherwise returns its result, without a log index. aImage is the
  // applied state, aCommand an IsPromptPartCommand() that carries its time.
  std::optional<state::CommandResultT> AnswerWithoutEntry(
    TimePoint aNow,
    const state::ConfigImageT& aImage,
    const state::CommandT& aCommand);

private:
  struct Proposed
  {
    state::CommandT m_command;
    TimePoint m_at{};
  };

  // Applies the commands that are not yet applied to a copy of the table.
  void Rebuild(TimePoint aNow, const state::ConfigImageT& aImage);

  // Commands that may not be applied yet, in order of their proposal.
  std::deque<Proposed> m_proposed;
  // The table that results once m_proposed is applied after m_expectedFrom.
  state::ConfigImageT m_expected;
  std::optional<std::uint64_t> m_expectedFrom;
};

} // namespace parsleycove
