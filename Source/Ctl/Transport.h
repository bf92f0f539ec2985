// One HTTP call to a gateway, as parsleycovectl needs it.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "Base/Reason.h"
#include "Base/SocketAddress.h"

namespace parsleycove {

enum class TransportError
{
  None,
  NotSent,    // no byte of the call can have reached the server
  AnswerLost, // the server may have carried the call out
};
using TransportReason = Reason<TransportError>;

enum class HttpMethod
{
  Get,
  Post,
  Delete,
};

struct AdminCall
{
  HttpMethod m_method = HttpMethod::Get;
  std::string m_target;
  std::string m_body;
  std::chrono::milliseconds m_timeout{ 10'000 };
};

struct AdminAnswer
{
  unsigned m_status = 0;
  std::string m_body;
};

class Transport
{
public:
  virtual ~Transport() = default;
  // Returns the answer, or nothing and why.
  virtual std::optional<AdminAnswer> Send(const SocketAddress& aServer,
                                          const AdminCall& aCall,
                                          TransportReason& aReason) = 0;
};

} // namespace parsleycove
