// Reads one request in pieces of limited size.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>

#include "Forwarding/ConnectionPlaces.h"
#include "Forwarding/ReadResult.h"
#include "Forwarding/ReceiveBudget.h"
#include "Wire/Http.h"
#include "Wire/StrictParser.h"

namespace parsleycove {

using RequestParser = StrictParser<true, http::string_body>;

// Counts what one request holds while it is read.
class BoundedRead final : public ReceiveBudget::Reader
{
public:
  // aOnRefused ends the read in progress. aPlace, which may be nullptr and must
  // outlive the read, is told what arrives.
  BoundedRead(std::shared_ptr<ReceiveBudget> aBudget,
              std::function<void()> aOnRefused,
              ConnectionPlaces::Place* aPlace = nullptr)
    : Reader(std::move(aBudget))
    , m_onRefused(std::move(aOnRefused))
    , m_place(aPlace)
  {
  }

  // Sets the size of the pieces. The parser keeps trailers, and the line of a
  // chunk, in the buffer until they are whole, so this limits them as well.
  static void LimitBuffer(beast::flat_buffer& aBuffer,
                          std::size_t aMaxHeaderBytes);

  // Reads the header.
  template<class Stream>
  asio::awaitable<beast::error_code> ReadHeader(Stream& aStream,
                                                beast::flat_buffer& aBuffer,
                                                RequestParser& aParser)
  {
    aParser.eager(false);
    while (!aParser.is_header_done()) {
      if (const auto error = co_await ReadPiece(aStream, aBuffer, aParser)) {
        co_return error;
      }
    }
    m_headerBytes = std::exchange(m_readBytes, 0);
    co_return beast::error_code{};
  }

  // Reads the rest of the request.
  template<class Stream>
  asio::awaitable<beast::error_code> ReadBody(Stream& aStream,
                                              beast::flat_buffer& aBuffer,
                                              RequestParser& aParser)
  {
    aParser.eager(true);
    while (!aParser.is_done()) {
      if (const auto error = co_await ReadPiece(aStream, aBuffer, aParser)) {
        co_return error;
      }
    }
    co_return beast::error_code{};
  }

  // Returns how a read ended with aError.
  ReadResult Classify(const beast::error_code& aError) const;
  void OnRefused() override;

private:
  // Not http::async_read_some, which reads on, unseen, as long as the buffer
  // ends within the line of a chunk.
  template<class Stream>
  asio::awaitable<beast::error_code> ReadPiece(Stream& aStream,
                                               beast::flat_buffer& aBuffer,
                                               RequestParser& aParser)
  {
    if (m_needsMore || aBuffer.size() == 0) {
      const std::size_t size = beast::read_size(aBuffer, aBuffer.max_size());
      if (size == 0) {
        co_return http::error::buffer_overflow;
      }
      const auto [error, bytes] = co_await aStream.async_read_some(
        aBuffer.prepare(size), asio::as_tuple(asio::use_awaitable));
      if (error) {
        co_return EndOf(error, aParser);
      }
      aBuffer.commit(bytes);
      if (m_place != nullptr) {
        m_place->AddReceived(bytes, BootClock::now());
      }
    }
    co_return Parse(aBuffer, aParser);
  }

  // Returns the error of a request whose connection ended with aError.
  static beast::error_code EndOf(const beast::error_code& aError,
                                 RequestParser& aParser);
  beast::error_code Parse(beast::flat_buffer& aBuffer, RequestParser& aParser);
  // Returns an error if the request is refused or is mostly framing.
  beast::error_code Count(std::size_t aBytes,
                          const beast::flat_buffer& aBuffer,
                          const RequestParser& aParser);

  const std::function<void()> m_onRefused;
  ConnectionPlaces::Place* const m_place;
  std::size_t m_headerBytes = 0;
  // Bytes of the header, or of what follows it.
  std::size_t m_readBytes = 0;
  // The parser waits for the rest of what is in the buffer.
  bool m_needsMore = false;
  bool m_isRefused = false;
};

// Bytes that are read and dropped before a refused connection is closed, and
// the time for it. Closing with unread bytes would reset the connection, and
// the answer might be lost.
inline constexpr std::size_t kMaxDroppedBytes = 256UL * 1024;
inline constexpr Duration kDropTimeout = std::chrono::seconds(1);

// Returns when the peer has closed the connection, the stream's deadline is
// over or kMaxDroppedBytes have been dropped.
template<class Stream>
asio::awaitable<void>
DropInput(Stream& aStream)
{
  std::array<char, 4096> dropped{};
  for (std::size_t total = 0; total < kMaxDroppedBytes;) {
    const auto [error, bytes] = co_await aStream.async_read_some(
      asio::buffer(dropped), asio::as_tuple(asio::use_awaitable));
    if (error) {
      break;
    }
    total += bytes;
  }
}

} // namespace parsleycove
