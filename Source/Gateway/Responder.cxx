// Writes the answer to one HTTP request, whole or piece by piece.
#include "Gateway/Responder.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include "Gateway/ApiError.h"

namespace parsleycove {

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr unsigned kHttp11 = 11;

} // namespace

Responder::Responder(beast::tcp_stream& aStream,
                     const HttpRequest& aRequest,
                     Duration aWriteTimeout)
  : m_stream(aStream)
  , m_version(aRequest.version())
  , m_writeTimeout(aWriteTimeout)
  , m_keepAlive(aRequest.keep_alive())
{
}

void
Responder::AddHeader(std::string aName, std::string aValue)
{
  m_headers.push_back({ std::move(aName), std::move(aValue) });
}

template<typename Message>
void
Responder::Prepare(Message& aMessage) const
{
  aMessage.set(http::field::server, "parsleycove");
  for (const HttpHeader& header : m_headers) {
    aMessage.set(header.m_name, header.m_value);
  }
  aMessage.keep_alive(m_keepAlive);
}

asio::awaitable<bool>
Responder::Send(unsigned aStatus, std::string aContentType, std::string aBody)
{
  HttpResponse response(http::status(aStatus), m_version);
  Prepare(response);
  response.set(http::field::content_type, aContentType);
  response.body() = std::move(aBody);
  response.prepare_payload();
  m_started = true;
  m_status = aStatus;
  m_stream.expires_after(m_writeTimeout);
  const auto [error, bytes] =
    co_await http::async_write(m_stream, response, kAwait);
  co_return !error;
}

asio::awaitable<bool>
Responder::SendJson(unsigned aStatus, std::string aBody)
{
  return Send(aStatus, "application/json", std::move(aBody));
}

asio::awaitable<bool>
Responder::SendError(const ApiError& aError)
{
  if (aError.m_retryAfter) {
    // The header has whole seconds; the body has the exact time.
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(*aError.m_retryAfter).count();
    AddHeader("Retry-After", std::to_string(std::max<long long>(1, seconds)));
  }
  return SendJson(aError.Status(), aError.Print());
}

asio::awaitable<bool>
Responder::BeginStream(std::string aContentType)
{
  http::response<http::empty_body> response(http::status::ok, m_version);
  m_chunked = m_version >= kHttp11;
  if (!m_chunked) {
    m_keepAlive = false;
  }
  Prepare(response);
  response.set(http::field::content_type, aContentType);
  response.set(http::field::cache_control, "no-cache");
  response.chunked(m_chunked);
  http::response_serializer<http::empty_body> serializer(response);
  m_started = true;
  m_status = 200;
  m_stream.expires_after(m_writeTimeout);
  const auto [error, bytes] =
    co_await http::async_write_header(m_stream, serializer, kAwait);
  co_return !error;
}

asio::awaitable<bool>
Responder::WritePiece(std::string aPiece)
{
  m_stream.expires_after(m_writeTimeout);
  const auto buffer = asio::buffer(aPiece);
  if (m_chunked) {
    const auto [error, bytes] =
      co_await asio::async_write(m_stream, http::make_chunk(buffer), kAwait);
    co_return !error;
  }
  const auto [error, bytes] =
    co_await asio::async_write(m_stream, buffer, kAwait);
  co_return !error;
}

asio::awaitable<bool>
Responder::EndStream()
{
  if (!m_chunked) {
    co_return true;
  }
  m_stream.expires_after(m_writeTimeout);
  const auto [error, bytes] =
    co_await asio::async_write(m_stream, http::make_chunk_last(), kAwait);
  co_return !error;
}

} // namespace parsleycove
