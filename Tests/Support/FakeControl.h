// A replicated state in one process, with faults that a test chooses.
#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

#include "Base/Publication.h"
#include "State/ControlPort.h"
#include "State/ReplicatedState.h"

namespace parsleycove {

// What becomes of one proposal.
enum class ProposalFate
{
  Applied,
  // Never applied, and the proposer is told so.
  NotAccepted,
  // Applied, but the answer is lost.
  AnswerLost,
  // Not applied, and the proposer cannot know.
  Lost,
};

// Applies commands at once, in the order of the calls.
class FakeControl final : public ControlPort
{
public:
  using Decide = std::function<ProposalFate(const state::CommandT&)>;

  FakeControl();

  // Chooses the fate of every proposal from now on.
  void SetFate(Decide aDecide);
  // Runs before a proposal is applied, outside of the lock; for what other
  // VMs do at that moment.
  void SetBefore(std::function<void(const state::CommandT&)> aBefore);
  // Applies a command as another VM would have.
  state::CommandResultT Apply(const state::CommandT& aCommand);
  std::optional<state::ActionRecordT> FindAction(const std::string& aAccount,
                                                 const std::string& aKey);
  // Asked at every confirmation: whether a quorum answers.
  void SetConfirm(std::function<bool()> aConfirm)
  {
    m_confirm = std::move(aConfirm);
  }
  void SetLease(bool aHasLease) { m_hasLease = aHasLease; }
  void SetGatewayCount(std::uint32_t aCount) { m_gatewayCount = aCount; }

  void Propose(state::CommandT aCommand,
               TimePoint aDeadline,
               ProposeHandler aHandler) override;
  void ReadAction(std::string aAccount,
                  std::string aKey,
                  TimePoint aDeadline,
                  ReadActionHandler aHandler) override;
  void ConfirmView(TimePoint aDeadline, ConfirmHandler aHandler) override;
  void ReadStatus(TimePoint aDeadline, StatusHandler aHandler) override;
  void AddReplica(feed::AddReplicaT aRequest,
                  TimePoint aDeadline,
                  AdminHandler aHandler) override;
  void RemoveReplica(std::uint64_t aReplica,
                     TimePoint aDeadline,
                     AdminHandler aHandler) override;
  boost::intrusive_ptr<const ClusterView> View() const override;
  bool HasLease(TimePoint aNow) const override;
  std::uint64_t InForceIndex() const override;
  std::uint32_t GatewayCount() const override { return m_gatewayCount; }
  void RenewEndpoint(const std::string& aId,
                     std::uint64_t aIncarnation) override;
  void AnnounceStopping() override;

private:
  mutable std::mutex m_mutex;
  ReplicatedState m_state;
  std::uint64_t m_index = 0;
  Decide m_decide;
  std::function<void(const state::CommandT&)> m_before;
  std::function<bool()> m_confirm;
  std::atomic<bool> m_hasLease{ true };
  std::atomic<std::uint32_t> m_gatewayCount{ 1 };
  Publication<const ClusterView> m_view;
};

} // namespace parsleycove
