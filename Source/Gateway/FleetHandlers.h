// Operators' calls about VMs, replicas, actions and traces.
#pragma once

#include "Gateway/OperatorHandler.h"

namespace parsleycove {

// GET /v1/admin/status: replicas and gateways, as the leader sees them.
class StatusHandler final : public OperatorHandler
{
public:
  using OperatorHandler::OperatorHandler;

protected:
  asio::awaitable<void> HandleOperator(const RequestContext& aContext,
                                       Responder& aResponder) override;
};

// GET /v1/admin/self: this VM alone.
class SelfHandler final : public OperatorHandler
{
public:
  using OperatorHandler::OperatorHandler;

protected:
  asio::awaitable<void> HandleOperator(const RequestContext& aContext,
                                       Responder& aResponder) override;
};

// POST /v1/admin/drain: begins the graceful stop of this VM's process.
class DrainHandler final : public OperatorHandler
{
public:
  using OperatorHandler::OperatorHandler;

protected:
  asio::awaitable<void> HandleOperator(const RequestContext& aContext,
                                       Responder& aResponder) override;
};

// POST /v1/admin/replicas and DELETE /v1/admin/replicas/{id}.
class ReplicaHandler final : public OperatorHandler
{
public:
  using OperatorHandler::OperatorHandler;

protected:
  asio::awaitable<void> HandleOperator(const RequestContext& aContext,
                                       Responder& aResponder) override;
};

// GET /v1/admin/actions/{account}/{key} and POST …/resolve.
class ActionAdminHandler final : public OperatorHandler
{
public:
  using OperatorHandler::OperatorHandler;

protected:
  asio::awaitable<void> HandleOperator(const RequestContext& aContext,
                                       Responder& aResponder) override;

private:
  asio::awaitable<void> Resolve(const RequestContext& aContext,
                                Responder& aResponder,
                                std::string aAccount,
                                std::string aKey);
};

// GET /v1/admin/traces/{trace_id}: the spans that this VM holds.
class TraceHandler final : public OperatorHandler
{
public:
  using OperatorHandler::OperatorHandler;

protected:
  asio::awaitable<void> HandleOperator(const RequestContext& aContext,
                                       Responder& aResponder) override;
};

} // namespace parsleycove
