// Coroutine wrappers for the calls of ControlPort.
#pragma once

#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "State/ControlPort.h"
#include "Wire/Http.h"

namespace parsleycove {

struct ProposeOutcome
{
  std::optional<state::CommandResultT> m_result;
  ControlReason m_reason;
};

struct ReadActionOutcome
{
  std::optional<state::ActionRecordT> m_record;
  ControlReason m_reason;
};

struct ConfirmOutcome
{
  bool m_confirmed = false;
  ControlReason m_reason;
};

struct StatusOutcome
{
  std::optional<feed::StatusReplyT> m_status;
  ControlReason m_reason;
};

struct AdminOutcome
{
  std::optional<feed::AdminReplyT> m_reply;
  ControlReason m_reason;
};

// Returns a command with the given body.
template<typename Body>
state::CommandT
MakeCommand(Body aBody)
{
  state::CommandT command;
  command.body.Set(std::move(aBody));
  return command;
}

// Each of the following coroutines resumes on the thread that runs aContext.
asio::awaitable<ProposeOutcome>
Propose(ControlPort& aPort,
        asio::io_context& aContext,
        state::CommandT aCommand,
        TimePoint aDeadline);

asio::awaitable<ReadActionOutcome>
ReadAction(ControlPort& aPort,
           asio::io_context& aContext,
           std::string aAccount,
           std::string aKey,
           TimePoint aDeadline);

asio::awaitable<ConfirmOutcome>
ConfirmView(ControlPort& aPort,
            asio::io_context& aContext,
            TimePoint aDeadline);

asio::awaitable<StatusOutcome>
ReadStatus(ControlPort& aPort, asio::io_context& aContext, TimePoint aDeadline);

asio::awaitable<AdminOutcome>
AddReplica(ControlPort& aPort,
           asio::io_context& aContext,
           feed::AddReplicaT aRequest,
           TimePoint aDeadline);

asio::awaitable<AdminOutcome>
RemoveReplica(ControlPort& aPort,
              asio::io_context& aContext,
              std::uint64_t aReplica,
              TimePoint aDeadline);

} // namespace parsleycove
