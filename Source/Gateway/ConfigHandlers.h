// Operators' calls about the configuration.
#pragma once

#include "Gateway/OperatorHandler.h"

namespace parsleycove {

// GET /v1/admin/config: everything that is in force here.
class ConfigHandler final : public OperatorHandler
{
public:
  using OperatorHandler::OperatorHandler;

protected:
  asio::awaitable<void> HandleOperator(const RequestContext& aContext,
                                       Responder& aResponder) override;
};

// POST /v1/admin/changes: one change, all or nothing.
class ChangeHandler final : public OperatorHandler
{
public:
  using OperatorHandler::OperatorHandler;

protected:
  asio::awaitable<void> HandleOperator(const RequestContext& aContext,
                                       Responder& aResponder) override;
};

// GET /v1/admin/in-force: waits until a log index is in force everywhere.
class InForceHandler final : public OperatorHandler
{
public:
  using OperatorHandler::OperatorHandler;

protected:
  asio::awaitable<void> HandleOperator(const RequestContext& aContext,
                                       Responder& aResponder) override;
};

} // namespace parsleycove
