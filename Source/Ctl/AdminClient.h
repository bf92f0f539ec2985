// The operator calls to whichever gateway can be reached.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "Ctl/ExitCode.h"
#include "Ctl/Transport.h"

namespace parsleycove {

using CtlReason = Reason<ExitCode>;

// Whether a call may be sent again when its answer was lost.
enum class Repeat
{
  Idempotent,
  Never,
};

class AdminClient
{
public:
  AdminClient(std::vector<SocketAddress> aServers, Transport& aTransport);

  const std::vector<SocketAddress>& Servers() const { return m_servers; }

  // Tries the servers in turn until one gives a final answer.
  std::optional<boost::json::object> Send(const AdminCall& aCall,
                                          Repeat aRepeat,
                                          CtlReason& aReason);
  // Asks one server only.
  std::optional<boost::json::object> SendTo(const SocketAddress& aServer,
                                            const AdminCall& aCall,
                                            CtlReason& aReason);

private:
  const std::vector<SocketAddress> m_servers;
  Transport& m_transport;
};

} // namespace parsleycove
