// Decides what a replica does to stay a member of its group, from the answers
// to its calls.
#include "Control/MembershipCheck.h"

#include <algorithm>

namespace parsleycove {

namespace {

// Used while this replica is not a member, or while the group does not answer.
constexpr std::chrono::milliseconds kRetryIntervalMs{ 200 };
// Used while this replica is a member.
constexpr std::chrono::seconds kCheckIntervalS{ 2 };

bool
IsListed(const feed::StatusReplyT& aStatus, std::uint64_t aReplica)
{
  return std::any_of(
    aStatus.replicas.begin(), aStatus.replicas.end(), [&](const auto& aRow) {
      return aRow->replica == aReplica;
    });
}

} // namespace

MembershipStep
MembershipCheck::OnStatus(const feed::StatusReplyT* aStatus,
                          const ControlReason& aReason) const
{
  if (aStatus == nullptr || aStatus->replicas.empty()) {
    return { false,
             kRetryIntervalMs,
             "cannot read the members of the group: " + aReason.m_text };
  }
  if (IsListed(*aStatus, m_self)) {
    return { false, kCheckIntervalS, {} };
  }
  return { true, {}, {} };
}

MembershipStep
MembershipCheck::OnJoinReply(const feed::AdminReplyT* aReply,
                             const ControlReason& aReason) const
{
  MembershipStep step{ false, kRetryIntervalMs, {} };
  if (aReply == nullptr || !aReply->ok) {
    step.m_fault = "the group did not add this replica: " +
                   (aReply != nullptr ? aReply->text : aReason.m_text);
  }
  return step;
}

} // namespace parsleycove
