// Reads one request in pieces of limited size.
#include "Forwarding/BoundedRead.h"

namespace parsleycove {

namespace {

constexpr std::size_t kPieceBytes = 16UL * 1024;
// Chunks of one byte have 5 bytes of framing each.
constexpr std::size_t kFramingPerByte = 16;
constexpr std::size_t kFreeFramingBytes = 64UL * 1024;

} // namespace

void
BoundedRead::LimitBuffer(beast::flat_buffer& aBuffer,
                         std::size_t aMaxHeaderBytes)
{
  aBuffer.max_size(aMaxHeaderBytes + kPieceBytes);
}

beast::error_code
BoundedRead::EndOf(const beast::error_code& aError, RequestParser& aParser)
{
  if (aError != asio::error::eof) {
    return aError;
  }
  beast::error_code error = http::error::end_of_stream;
  if (aParser.got_some()) {
    aParser.put_eof(error);
  }
  return error;
}

beast::error_code
BoundedRead::Parse(beast::flat_buffer& aBuffer, RequestParser& aParser)
{
  beast::error_code error;
  const std::size_t used = aParser.put(aBuffer.data(), error);
  aBuffer.consume(used);
  m_needsMore = error == http::error::need_more;
  return error && !m_needsMore ? error : Count(used, aBuffer, aParser);
}

beast::error_code
BoundedRead::Count(std::size_t aBytes,
                   const beast::flat_buffer& aBuffer,
                   const RequestParser& aParser)
{
  if (m_isRefused) {
    return asio::error::no_buffer_space;
  }
  m_readBytes += aBytes;
  const std::string& body = aParser.get().body();
  // An announced body has its memory reserved, but not yet in use.
  const std::size_t bodyBytes = aParser.is_header_done() && aParser.chunked()
                                  ? body.capacity()
                                  : body.size();
  const std::size_t held = m_headerBytes + bodyBytes + aBuffer.capacity() +
                           (aParser.is_header_done() ? 0 : m_readBytes);
  if (!Budget().Hold(*this, held, BootClock::now())) {
    return asio::error::no_buffer_space;
  }
  const bool isFraming =
    aParser.is_header_done() &&
    m_readBytes > kFreeFramingBytes + (kFramingPerByte + 1) * body.size();
  return isFraming ? beast::error_code(http::error::bad_chunk_extension)
                   : beast::error_code{};
}

ReadResult
BoundedRead::Classify(const beast::error_code& aError) const
{
  if (m_isRefused) {
    return ReadResult::Refused;
  }
  if (aError == http::error::body_limit) {
    return ReadResult::BodyTooLarge;
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return ReadResult::HeaderTooLarge;
  }
  static const beast::error_code kAnyHttpError =
    make_error_code(http::error::bad_method);
  const bool isEnd = aError == http::error::end_of_stream ||
                     aError == http::error::partial_message;
  return !isEnd && aError.category() == kAnyHttpError.category()
           ? ReadResult::Malformed
           : ReadResult::Closed;
}

void
BoundedRead::OnRefused()
{
  m_isRefused = true;
  m_onRefused();
}

} // namespace parsleycove
