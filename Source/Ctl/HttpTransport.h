// Calls to gateways over HTTP/1.1, each on a connection of its own.
#pragma once

#include <string>

#include "Ctl/Transport.h"

namespace parsleycove {

class HttpTransport final : public Transport
{
public:
  explicit HttpTransport(std::string aOperatorKey);

  std::optional<AdminAnswer> Send(const SocketAddress& aServer,
                                  const AdminCall& aCall,
                                  TransportReason& aReason) override;

private:
  const std::string m_operatorKey;
};

} // namespace parsleycove
