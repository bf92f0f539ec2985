// Decides which commands about prompt parts the leader proposes to the log.
#include "Control/PromptCommandFilter.h"

#include <utility>

#include "State/PromptPartTable.h"

namespace parsleycove {

namespace {

// A command that is not applied within this time counts as lost.
constexpr Duration kCommitTimeout = std::chrono::milliseconds(800);

} // namespace

std::optional<state::CommandResultT>
PromptCommandFilter::AnswerWithoutEntry(TimePoint aNow,
                                        const state::ConfigImageT& aImage,
                                        const state::CommandT& aCommand)
{
  const bool isLost =
    !m_proposed.empty() && aNow - m_proposed.front().m_at >= kCommitTimeout;
  if (isLost || m_expectedFrom != aImage.index) {
    Rebuild(aNow, aImage);
  }
  state::CommandResultT result = ApplyPromptPartCommand(m_expected, aCommand);
  if (result.code != state::ResultCode::Ok) {
    result.revision = aImage.revision;
    return result;
  }
  m_proposed.push_back({ aCommand, aNow });
  return std::nullopt;
}

void
PromptCommandFilter::Rebuild(TimePoint aNow, const state::ConfigImageT& aImage)
{
  m_expected = CopyPromptParts(aImage);
  m_expectedFrom = aImage.index;
  // A command that is applied already changes nothing a second time.
  std::erase_if(m_proposed, [&](const Proposed& aProposed) {
    return aNow - aProposed.m_at >= kCommitTimeout ||
           ApplyPromptPartCommand(m_expected, aProposed.m_command).code !=
             state::ResultCode::Ok;
  });
}

} // namespace parsleycove
