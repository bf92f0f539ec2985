// Feature levels of the commands of the replicated log.
#include "State/CommandLevel.h"

#include <algorithm>
#include <array>

namespace parsleycove {

namespace {

struct Row
{
  state::CommandBody m_kind;
  std::uint32_t m_level;
};

using state::CommandBody;

constexpr std::array kLevels{
  Row{ CommandBody::ApplyChange, 0 },
  Row{ CommandBody::AnnounceEndpoint, 0 },
  Row{ CommandBody::LeaveEndpoint, 0 },
  Row{ CommandBody::DropEndpoints, 0 },
  Row{ CommandBody::ReserveAction, 0 },
  Row{ CommandBody::DispatchAction, 0 },
  Row{ CommandBody::CompleteAction, 0 },
  Row{ CommandBody::AbandonAction, 0 },
  Row{ CommandBody::DoubtAction, 0 },
  Row{ CommandBody::ResolveAction, 0 },
  Row{ CommandBody::GatewayGone, 0 },
  Row{ CommandBody::IssueOrder, 0 },
  Row{ CommandBody::FinishOrder, 0 },
  Row{ CommandBody::PutDocument, 0 },
  Row{ CommandBody::SuspectEndpoint, 0 },
  Row{ CommandBody::ReportPromptCrash, 1 },
  Row{ CommandBody::ClearPromptParts, 1 },
  Row{ CommandBody::TryPromptPart, 1 },
  Row{ CommandBody::ClaimEndpointLimits, 1 },
  Row{ CommandBody::AnnounceGateway, 1 },
};

} // namespace

std::optional<std::uint32_t>
FindCommandLevel(state::CommandBody aKind)
{
  const auto* row =
    std::find_if(kLevels.begin(), kLevels.end(), [aKind](const Row& aRow) {
      return aRow.m_kind == aKind;
    });
  return row == kLevels.end() ? std::nullopt : std::optional(row->m_level);
}

std::optional<std::uint32_t>
FindCommandLevel(const state::CommandT& aCommand)
{
  return aCommand.body.value == nullptr ? std::nullopt
                                        : FindCommandLevel(aCommand.body.type);
}

} // namespace parsleycove
