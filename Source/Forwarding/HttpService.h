// A small HTTP server for readiness, metrics and control calls.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Base/SocketAddress.h"
#include "Wire/Http.h"

namespace parsleycove {

using HttpHandler =
  std::function<asio::awaitable<HttpResponse>(const HttpRequest&)>;

struct HttpServiceLimits
{
  std::size_t m_maxBodyBytes = 8ULL * 1024 * 1024;
  std::size_t m_maxConnections = 2000;
  // Without a whole request for this long a connection is closed.
  std::chrono::seconds m_idleTimeout{ 30 };
};

// Answers whole requests by a handler, on the thread of the context.
class HttpService
{
public:
  HttpService(asio::io_context& aContext,
              HttpHandler aHandler,
              HttpServiceLimits aLimits = {});
  ~HttpService();
  HttpService(const HttpService&) = delete;
  HttpService& operator=(const HttpService&) = delete;

  // False with the reason when the address cannot be taken.
  bool Open(const SocketAddress& aListen, std::string& aReason);
  std::uint16_t Port() const;
  void Close();

private:
  struct Parts;

  std::shared_ptr<Parts> m_parts;
};

// An answer with a text and no more.
HttpResponse
MakeTextAnswer(http::status aStatus,
               std::string aText,
               std::string_view aType = "text/plain");

} // namespace parsleycove
