// Checks that come before any work for a caller.
#include "Gateway/CallerGate.h"

#include "Base/Digest.h"
#include "Base/DrainState.h"
#include "Gateway/GatewayServices.h"
#include "Gateway/RequestContext.h"
#include "State/ControlPort.h"

namespace parsleycove {

namespace {

constexpr Duration kRetryNotReady = std::chrono::seconds(1);
constexpr Duration kRetryDraining = std::chrono::milliseconds(100);

std::optional<ApiError>
CheckTakesWork(const GatewayServices& aServices, const ClusterView& aView)
{
  const TimePoint now = aServices.m_clock.Now();
  if (aServices.m_drain.Phase(now) == DrainPhase::Draining) {
    return ApiError{ ApiErrorCode::Draining,
                     "this VM is stopping; another one will answer",
                     CallOutcome::NotAttempted,
                     kRetryDraining };
  }
  const state::SettingsT* settings = aView.Image().settings.get();
  const std::uint64_t shutdown = settings ? settings->shutdown_unix_ms : 0;
  if (shutdown != 0 && aServices.m_clock.UnixMs() >= shutdown) {
    return ApiError{ ApiErrorCode::ServiceClosed,
                     "the service has closed at its announced date",
                     CallOutcome::NotAttempted };
  }
  return std::nullopt;
}

std::optional<ApiError>
CheckLease(const GatewayServices& aServices)
{
  if (aServices.m_control.HasLease(aServices.m_clock.Now())) {
    return std::nullopt;
  }
  return ApiError{ ApiErrorCode::NotReady,
                   "this VM does not know the current configuration",
                   CallOutcome::NotAttempted,
                   kRetryNotReady };
}

} // namespace

std::optional<Caller>
IdentifyCaller(const GatewayServices& aServices,
               const RequestContext& aContext,
               ApiError& aError)
{
  if (auto error = CheckLease(aServices)) {
    aError = *error;
    return std::nullopt;
  }
  Caller caller;
  caller.m_view = aServices.m_control.View();
  const std::string hash = Sha256Hex(aContext.BearerKey());
  caller.m_account = caller.m_view->FindAccountByKeyHash(hash);
  if (!caller.m_account) {
    aError = { ApiErrorCode::Unauthorized,
               "the bearer key belongs to no client account" };
    return std::nullopt;
  }
  const std::string_view asked = aContext.Header("X-Work-Class");
  const std::string_view name =
    asked.empty() ? std::string_view(caller.m_account->default_class) : asked;
  caller.m_class = caller.m_view->FindClass(name);
  if (!caller.m_class) {
    aError = { ApiErrorCode::BadRequest,
               "X-Work-Class: there is no class \"" + std::string(name) +
                 "\"; expected one of the operators' classes" };
    return std::nullopt;
  }
  caller.m_deadline = aContext.m_arrival +
                      std::chrono::milliseconds(caller.m_class->completion_ms);
  return caller;
}

std::optional<Caller>
AdmitCaller(const GatewayServices& aServices,
            const RequestContext& aContext,
            ApiError& aError)
{
  std::optional<Caller> caller = IdentifyCaller(aServices, aContext, aError);
  if (!caller) {
    return std::nullopt;
  }
  if (auto error = CheckTakesWork(aServices, *caller->m_view)) {
    aError = *error;
    return std::nullopt;
  }
  return caller;
}

} // namespace parsleycove
