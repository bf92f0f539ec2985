// A small HTTP server for readiness, metrics and control calls.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Base/SocketAddress.h"
#include "Forwarding/ConnectionPlaces.h"
#include "Forwarding/UnreadRequests.h"
#include "Wire/Http.h"

namespace parsleycove {

using HttpHandler =
  std::function<asio::awaitable<HttpResponse>(const HttpRequest&)>;

struct HttpServiceLimits
{
  std::size_t m_maxBodyBytes = 8ULL * 1024 * 1024;
  std::size_t m_maxHeaderBytes = 8ULL * 1024;
  // For any more, others are given up.
  std::size_t m_maxConnections = 2000;
  // Memory of requests that are not yet read to their end.
  std::size_t m_receiveBudgetBytes = 32ULL * 1024 * 1024;
  // A connection on which no complete request arrives within this time is
  // closed.
  std::chrono::seconds m_idleTimeout{ 30 };
};

// For services whose requests have no body.
inline constexpr HttpServiceLimits kSmallRequests{
  .m_maxBodyBytes = 16ULL * 1024,
  .m_maxConnections = 64,
  .m_receiveBudgetBytes = 1024ULL * 1024,
};

// Passes complete requests to a handler on the thread that runs aContext.
class HttpService
{
public:
  // aUnread: where requests that are not read to their end are counted;
  // nullptr: nowhere. aOnLoss: called for connections that are closed for lack
  // of places; may be empty.
  HttpService(asio::io_context& aContext,
              HttpHandler aHandler,
              HttpServiceLimits aLimits = {},
              UnreadRequests* aUnread = nullptr,
              ConnectionPlaces::LossObserver aOnLoss = {});
  ~HttpService();
  HttpService(const HttpService&) = delete;
  HttpService& operator=(const HttpService&) = delete;

  // Returns false and sets aReason if the address cannot be bound.
  bool Open(const SocketAddress& aListen, std::string& aReason);
  std::uint16_t Port() const;
  void Close();

private:
  struct Parts;

  std::shared_ptr<Parts> m_parts;
};

// Returns an answer that has only a content type and a text body.
HttpResponse
MakeTextAnswer(http::status aStatus,
               std::string aText,
               std::string_view aType = "text/plain");

} // namespace parsleycove
