// A test endpoint on the loopback interface that answers every request by a
// script.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Base/Clock.h"
#include "Wire/Http.h"

namespace parsleycove {

// One step of the script by which an endpoint answers a request.
struct StubStep
{
  enum class Kind
  {
    Send,
    Pause,
    // Waits until a condition holds.
    Await,
    // Closes the connection in order.
    Close,
    // Sends the end of the connection, and reads on.
    End,
    // Resets the connection.
    Reset,
    // Sends its bytes again and again until the peer closes the connection, but
    // not more than kMaxFloodBytes unless SetMaxFloodBytes() sets another
    // limit.
    Flood,
    // Sends nothing more and keeps the connection open.
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
EndNow();
StubStep
ResetNow();
StubStep
Flood(std::string aBytes);
StubStep
Hang();

// Limits the memory that a failing test may cost its gateway.
constexpr std::size_t kMaxFloodBytes = 48UL * 1024 * 1024;

// Returns a complete answer with a signature.
std::string
MakeAnswer(const std::string& aAttemptId,
           unsigned aStatus,
           const std::string& aBody,
           const std::string& aExtraHeaders = {});
// Returns the status line and header of an event stream.
std::string
MakeStreamHead(const std::string& aAttemptId);
// Returns one event as a chunk.
std::string
MakeEvent(int aId);
std::string
MakeStreamEnd();

// Invariant: runs on the thread that runs its context.
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
  // Answers each request once its header was read, and reads its body after
  // the script. Little of the body fits into the socket until then.
  void AnswerBeforeBody();
  // Refuses new connections from now on and closes the open ones.
  void Stop();
  // Returns all requests received so far.
  const std::vector<HttpRequest>& Requests() const;
  // Returns the number of connections that the peer closed in the middle of
  // an answer.
  int Abandoned() const;
  int Connections() const;
  // Returns the number of bytes sent by Flood.
  std::size_t FloodBytes() const;
  void SetMaxFloodBytes(std::size_t aBytes);

private:
  struct Parts;

  std::shared_ptr<Parts> m_parts;
};

} // namespace parsleycove
