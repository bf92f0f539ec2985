// Writes the answer to one HTTP request, whole or piece by piece.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Base/Clock.h"
#include "Wire/Http.h"

namespace parsleycove {

struct ApiError;

struct HttpHeader
{
  std::string m_name;
  std::string m_value;
};

// Each method returns false when the caller is gone; then nothing more needs
// to be written.
//
// Invariant: either one whole answer or one stream is written.
class Responder
{
public:
  Responder(beast::tcp_stream& aStream,
            const HttpRequest& aRequest,
            Duration aWriteTimeout);

  // Adds a header to whatever answer follows.
  void AddHeader(std::string aName, std::string aValue);
  void CloseAfterwards() { m_keepAlive = false; }

  asio::awaitable<bool> Send(unsigned aStatus,
                             std::string aContentType,
                             std::string aBody);
  asio::awaitable<bool> SendJson(unsigned aStatus, std::string aBody);
  asio::awaitable<bool> SendError(const ApiError& aError);

  asio::awaitable<bool> BeginStream(std::string aContentType);
  asio::awaitable<bool> WritePiece(std::string aPiece);
  asio::awaitable<bool> EndStream();

  bool HasStarted() const { return m_started; }
  bool KeepsAlive() const { return m_keepAlive; }
  unsigned Status() const { return m_status; }

private:
  template<typename Message>
  void Prepare(Message& aMessage) const;

  beast::tcp_stream& m_stream;
  const unsigned m_version;
  const Duration m_writeTimeout;
  bool m_keepAlive;
  bool m_started = false;
  bool m_chunked = false;
  unsigned m_status = 0;
  std::vector<HttpHeader> m_headers;
};

} // namespace parsleycove
