// The operator calls to whichever gateway can be reached.
#include "Ctl/AdminClient.h"

#include <utility>

#include <boost/json/parse.hpp>

namespace parsleycove {

namespace {

constexpr int kRounds = 3; // over all servers
constexpr unsigned kFirstError = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kTimedOut = 504;
constexpr unsigned kFirstServerError = 500;

boost::json::object
ParseObject(const std::string& aBody)
{
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(aBody, error);
  if (error || !value.is_object()) {
    return {};
  }
  return std::move(value.as_object());
}

// "code: message (now at revision N)" out of an error body.
std::string
ErrorText(const AdminAnswer& aAnswer)
{
  const boost::json::object body = ParseObject(aAnswer.m_body);
  std::string text = "status " + std::to_string(aAnswer.m_status);
  const auto* error = body.if_contains("error");
  if (error != nullptr && error->is_object()) {
    for (const char* field : { "code", "message" }) {
      const auto* value = error->as_object().if_contains(field);
      if (value != nullptr && value->is_string()) {
        text += std::string(": ") + value->as_string().c_str();
      }
    }
  }
  if (const auto* revision = body.if_contains("revision");
      revision != nullptr && revision->is_int64()) {
    text += " (current revision " + std::to_string(revision->as_int64()) + ")";
  }
  return text;
}

ExitCode
CodeOf(unsigned aStatus)
{
  if (aStatus == kNotFound) {
    return ExitCode::NotFound;
  }
  if (aStatus == kUnavailable) {
    return ExitCode::Unreachable;
  }
  if (aStatus == kTimedOut || aStatus >= kFirstServerError) {
    return ExitCode::OutcomeUnknown;
  }
  return ExitCode::Refused;
}

} // namespace

AdminClient::AdminClient(std::vector<SocketAddress> aServers,
                         Transport& aTransport)
  : m_servers(std::move(aServers))
  , m_transport(aTransport)
{
}

std::optional<boost::json::object>
AdminClient::SendTo(const SocketAddress& aServer,
                    const AdminCall& aCall,
                    CtlReason& aReason)
{
  TransportReason reason;
  const auto answer = m_transport.Send(aServer, aCall, reason);
  if (!answer) {
    const bool notSent = reason.m_code == TransportError::NotSent;
    aReason.Set(notSent ? ExitCode::Unreachable : ExitCode::OutcomeUnknown,
                aServer.ToString() + ": " + reason.m_text);
    return std::nullopt;
  }
  if (answer->m_status >= kFirstError) {
    aReason.Set(CodeOf(answer->m_status),
                aServer.ToString() + ": " + ErrorText(*answer));
    return std::nullopt;
  }
  return ParseObject(answer->m_body);
}

std::optional<boost::json::object>
AdminClient::Send(const AdminCall& aCall, Repeat aRepeat, CtlReason& aReason)
{
  std::optional<CtlReason> unknown;
  for (int round = 0; round < kRounds; ++round) {
    for (const SocketAddress& server : m_servers) {
      if (auto body = SendTo(server, aCall, aReason)) {
        return body;
      }
      const bool isFinal = aReason.m_code == ExitCode::Refused ||
                           aReason.m_code == ExitCode::NotFound;
      if (isFinal) {
        return std::nullopt;
      }
      if (aReason.m_code == ExitCode::OutcomeUnknown) {
        unknown = aReason;
        if (aRepeat == Repeat::Never) {
          return std::nullopt;
        }
      }
    }
  }
  // An earlier try may have been carried out, whatever came later.
  if (unknown && aCall.m_method != HttpMethod::Get) {
    aReason = *unknown;
  } else {
    aReason.m_code = ExitCode::Unreachable;
  }
  return std::nullopt;
}

} // namespace parsleycove
