// A replicated state in one process, with faults that a test chooses.
#include "Support/FakeControl.h"

#include <utility>

#include "State/CommandCodec.h"

namespace parsleycove {

namespace {

boost::intrusive_ptr<const ClusterView>
MakeView(const state::ConfigImageT& aImage)
{
  return { new ClusterView(aImage) };
}

ControlReason
MakeReason(ControlError aCode)
{
  return { aCode, "chosen by the test" };
}

} // namespace

FakeControl::FakeControl()
  : m_view(MakeView(state::ConfigImageT{}))
{
}

void
FakeControl::SetFate(Decide aDecide)
{
  const std::lock_guard guard(m_mutex);
  m_decide = std::move(aDecide);
}

void
FakeControl::SetBefore(std::function<void(const state::CommandT&)> aBefore)
{
  const std::lock_guard guard(m_mutex);
  m_before = std::move(aBefore);
}

state::CommandResultT
FakeControl::Apply(const state::CommandT& aCommand)
{
  const std::lock_guard guard(m_mutex);
  state::CommandResultT result = m_state.Apply(++m_index, 1, aCommand);
  if (AffectsConfig(aCommand)) {
    m_view.Publish(MakeView(m_state.Config()));
  }
  return result;
}

std::optional<state::ActionRecordT>
FakeControl::FindAction(const std::string& aAccount, const std::string& aKey)
{
  const std::lock_guard guard(m_mutex);
  const state::ActionRecordT* record = m_state.FindAction(aAccount, aKey);
  return record ? std::optional(*record) : std::nullopt;
}

void
FakeControl::Propose(state::CommandT aCommand,
                     TimePoint,
                     ProposeHandler aHandler)
{
  Decide decide;
  std::function<void(const state::CommandT&)> before;
  {
    const std::lock_guard guard(m_mutex);
    decide = m_decide;
    before = m_before;
  }
  if (before) {
    before(aCommand);
  }
  const ProposalFate fate = decide ? decide(aCommand) : ProposalFate::Applied;
  if (fate == ProposalFate::NotAccepted) {
    aHandler(std::nullopt, MakeReason(ControlError::NotAccepted));
    return;
  }
  if (fate == ProposalFate::Lost) {
    aHandler(std::nullopt, MakeReason(ControlError::Unknown));
    return;
  }
  state::CommandResultT result = Apply(aCommand);
  if (fate == ProposalFate::AnswerLost) {
    aHandler(std::nullopt, MakeReason(ControlError::Unknown));
    return;
  }
  aHandler(std::move(result), {});
}

void
FakeControl::ReadAction(std::string aAccount,
                        std::string aKey,
                        TimePoint,
                        ReadActionHandler aHandler)
{
  aHandler(FindAction(aAccount, aKey), {});
}

void
FakeControl::ConfirmView(TimePoint /*aDeadline*/, ConfirmHandler aHandler)
{
  const bool isConfirmed = !m_confirm || m_confirm();
  aHandler(isConfirmed,
           isConfirmed ? ControlReason{} : MakeReason(ControlError::Unknown));
}

void
FakeControl::ReadStatus(TimePoint, StatusHandler aHandler)
{
  aHandler(feed::StatusReplyT{}, {});
}

void
FakeControl::AddReplica(feed::AddReplicaT, TimePoint, AdminHandler aHandler)
{
  aHandler(std::nullopt, MakeReason(ControlError::NotAccepted));
}

void
FakeControl::RemoveReplica(std::uint64_t, TimePoint, AdminHandler aHandler)
{
  aHandler(std::nullopt, MakeReason(ControlError::NotAccepted));
}

boost::intrusive_ptr<const ClusterView>
FakeControl::View() const
{
  return m_view.Read();
}

bool
FakeControl::HasLease(TimePoint) const
{
  return m_hasLease;
}

std::uint64_t
FakeControl::InForceIndex() const
{
  return m_view.Read()->Index();
}

void
FakeControl::RenewEndpoint(const std::string&, std::uint64_t)
{
}

void
FakeControl::AnnounceStopping()
{
}

} // namespace parsleycove
