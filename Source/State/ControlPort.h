// What a gateway needs of the replicated state, whoever provides it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "Base/Clock.h"
#include "Base/Reason.h"
#include "FeedGenerated.h"
#include "State/ClusterView.h"

namespace parsleycove {

enum class ControlError
{
  None,
  // The command was not accepted and never will be.
  NotAccepted,
  // The command may or may not be applied, now or later; ask again with the
  // same identifiers.
  Unknown,
};
using ControlReason = Reason<ControlError>;

// Access to the replicated state from any thread.
//
// Handlers run on a thread of the implementation; they must be short and may
// not block. Every handler is called exactly once, at the deadline at the
// latest.
class ControlPort
{
public:
  using ProposeHandler =
    std::function<void(std::optional<state::CommandResultT>, ControlReason)>;
  // An empty record with no error: the ledger has no such key.
  using ReadActionHandler =
    std::function<void(std::optional<state::ActionRecordT>, ControlReason)>;
  using ConfirmHandler = std::function<void(bool, ControlReason)>;
  using StatusHandler =
    std::function<void(std::optional<feed::StatusReplyT>, ControlReason)>;
  using AdminHandler =
    std::function<void(std::optional<feed::AdminReplyT>, ControlReason)>;

  virtual ~ControlPort() = default;

  // Commits a command and hands over what applying it returned.
  virtual void Propose(state::CommandT aCommand,
                       TimePoint aDeadline,
                       ProposeHandler aHandler) = 0;
  // Reads a ledger entry after a quorum has confirmed that it is current.
  virtual void ReadAction(std::string aAccount,
                          std::string aKey,
                          TimePoint aDeadline,
                          ReadActionHandler aHandler) = 0;
  // Calls back with true once View() holds all that was accepted before the
  // call, confirmed by a quorum.
  virtual void ConfirmView(TimePoint aDeadline, ConfirmHandler aHandler) = 0;
  virtual void ReadStatus(TimePoint aDeadline, StatusHandler aHandler) = 0;
  virtual void AddReplica(feed::AddReplicaT aRequest,
                          TimePoint aDeadline,
                          AdminHandler aHandler) = 0;
  virtual void RemoveReplica(std::uint64_t aReplica,
                             TimePoint aDeadline,
                             AdminHandler aHandler) = 0;

  // Takes no lock. Never null; before the first image it is an empty view.
  virtual boost::intrusive_ptr<const ClusterView> View() const = 0;
  // True while this process may take new work on the configuration it has.
  virtual bool HasLease(TimePoint aNow) const = 0;
  // Log index that every live gateway has reached.
  virtual std::uint64_t InForceIndex() const = 0;

  // How many gateways the fleet has; 0 while not known.
  virtual std::uint32_t GatewayCount() const = 0;

  // Notes that an endpoint is alive; passed on in batches.
  virtual void RenewEndpoint(const std::string& aId,
                             std::uint64_t aIncarnation) = 0;
  // Tells the group that this process takes no new work any more.
  virtual void AnnounceStopping() = 0;
};

} // namespace parsleycove
