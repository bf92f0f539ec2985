// An endpoint on loopback that answers every request by a script.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Base/Clock.h"
#include "Wire/Http.h"

namespace parsleycove {

// What an endpoint does with one request, in order.
struct StubStep
{
  enum class Kind
  {
    Send,
    Pause,
    // Until a condition holds.
    Await,
    // Closes the connection.
    Close,
    // Says nothing more and keeps the connection.
    Hang,
  };

  Kind m_kind = Kind::Send;
  std::string m_bytes;
  Duration m_pause{};
  std::function<bool()> m_until{};
};

StubStep
Send(std::string aBytes);
StubStep
Pause(Duration aPause);
StubStep
Await(std::function<bool()> aUntil);
StubStep
CloseNow();
StubStep
Hang();

// A whole answer with a signature.
std::string
MakeAnswer(const std::string& aAttemptId,
           unsigned aStatus,
           const std::string& aBody,
           const std::string& aExtraHeaders = {});
// Head of a stream of events.
std::string
MakeStreamHead(const std::string& aAttemptId);
// One event as a chunk.
std::string
MakeEvent(int aId);
std::string
MakeStreamEnd();

// Invariant: runs on the thread of its context.
class StubEndpoint
{
public:
  using Script = std::function<std::vector<StubStep>(const HttpRequest&)>;

  explicit StubEndpoint(boost::asio::io_context& aContext);
  ~StubEndpoint();
  StubEndpoint(const StubEndpoint&) = delete;
  StubEndpoint& operator=(const StubEndpoint&) = delete;

  std::uint16_t Port() const;
  void SetScript(Script aScript);
  // Refuses connections from now on and ends those that are open.
  void Stop();
  // All requests so far.
  const std::vector<HttpRequest>& Requests() const;
  // Connections that the other side has closed within an answer.
  int Abandoned() const;
  int Connections() const;

private:
  struct Parts;

  std::shared_ptr<Parts> m_parts;
};

} // namespace parsleycove
