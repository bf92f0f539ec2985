// One call of a plain service that may be repeated.
#pragma once

#include <optional>
#include <string>

#include "Forwarding/CallResult.h"
#include "Gateway/ApiError.h"
#include "Routing/Runner.h"

namespace parsleycove {

struct Caller;
struct GatewayServices;
struct RequestContext;

struct IdempotentAnswer
{
  std::optional<HttpResponse> m_response;
  std::optional<ApiError> m_error;
};

// Tries ready endpoints one after another within the deadline and the retry
// budget. An endpoint that stays silent for its share of the target is passed
// over for another one.
class IdempotentCall
{
public:
  IdempotentCall(const GatewayServices& aServices,
                 const RequestContext& aContext,
                 const Caller& aCaller,
                 std::string aService);

  asio::awaitable<IdempotentAnswer> Run(std::string aPath);

private:
  asio::awaitable<CallResult> TryOnce(RunnerPtr aTarget,
                                      std::string aPath,
                                      bool aIsRetry);
  HttpRequest MakeRequest(const Runner& aTarget,
                          const std::string& aPath,
                          const std::string& aTraceParent) const;
  Duration TryTimeout(TimePoint aNow) const;

  const GatewayServices& m_services;
  const RequestContext& m_context;
  const Caller& m_caller;
  const std::string m_service;
};

} // namespace parsleycove
