// Checks that come before any work for a caller.
#pragma once

#include <optional>
#include <string>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "Gateway/ApiError.h"
#include "State/ClusterView.h"

namespace parsleycove {

struct GatewayServices;
struct RequestContext;

// A caller that may go on. The pointers live as long as the view.
struct Caller
{
  boost::intrusive_ptr<const ClusterView> m_view;
  const state::ClientAccountT* m_account = nullptr;
  const state::WorkClassT* m_class = nullptr;
  // When the whole answer is due.
  TimePoint m_deadline{};
};

// Checks the configuration lease, the phase of a stop, the shutdown date, the
// bearer key and the class of work (header X-Work-Class, or else the account's
// default). On refusal sets the error.
std::optional<Caller>
AdmitCaller(const GatewayServices& aServices,
            const RequestContext& aContext,
            ApiError& aError);

// Like AdmitCaller, but only for asking: also answered while this VM drains and
// after the shutdown date.
std::optional<Caller>
IdentifyCaller(const GatewayServices& aServices,
               const RequestContext& aContext,
               ApiError& aError);

} // namespace parsleycove
