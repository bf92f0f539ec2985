// The replicated state's calls for coroutines of a worker.
#pragma once

#include <optional>
#include <string>

#include "Gateway/Http.h"
#include "State/ControlPort.h"

namespace parsleycove {

class Worker;

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

// Wraps a command's body.
template<typename Body>
state::CommandT
MakeCommand(Body aBody)
{
  state::CommandT command;
  command.body.Set(std::move(aBody));
  return command;
}

// Each of these resumes on the worker's thread.
asio::awaitable<ProposeOutcome>
Propose(ControlPort& aPort,
        Worker& aWorker,
        state::CommandT aCommand,
        TimePoint aDeadline);

asio::awaitable<ReadActionOutcome>
ReadAction(ControlPort& aPort,
           Worker& aWorker,
           std::string aAccount,
           std::string aKey,
           TimePoint aDeadline);

asio::awaitable<StatusOutcome>
ReadStatus(ControlPort& aPort, Worker& aWorker, TimePoint aDeadline);

asio::awaitable<AdminOutcome>
AddReplica(ControlPort& aPort,
           Worker& aWorker,
           feed::AddReplicaT aRequest,
           TimePoint aDeadline);

asio::awaitable<AdminOutcome>
RemoveReplica(ControlPort& aPort,
              Worker& aWorker,
              std::uint64_t aReplica,
              TimePoint aDeadline);

} // namespace parsleycove
