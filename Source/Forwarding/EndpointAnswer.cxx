// Parses the answers of one call, judges their form and counts what is held.
#include "Forwarding/EndpointAnswer.h"

#include <utility>

namespace parsleycove {

namespace {

constexpr std::uint32_t kMaxHeaderBytes = 64U * 1024;
// Limit of the size line of a chunk with its extensions, and of the trailers.
constexpr std::size_t kMaxChunkHeaderBytes = 64UL * 1024;

} // namespace

void
EndpointAnswer::Count(std::shared_ptr<ReceiveBudget> aBudget,
                      std::function<void()> aOnRefused)
{
  m_held.emplace(std::move(aBudget), std::move(aOnRefused));
}

bool
EndpointAnswer::Hold(std::size_t aBytes)
{
  return !m_held || m_held->Hold(aBytes + m_keptBytes + m_headerBytes);
}

void
EndpointAnswer::Release()
{
  if (m_held) {
    m_held->Release();
  }
}

void
EndpointAnswer::Start()
{
  m_headerBytes = 0;
  StartParser();
}

void
EndpointAnswer::StartParser()
{
  m_parser.emplace();
  m_parser->header_limit(kMaxHeaderBytes);
  m_parser->body_limit(boost::none);
  m_parser->eager(false);
}

AnswerStep
EndpointAnswer::TakeHeader(beast::flat_buffer& aBuffer)
{
  while (!m_parser->is_header_done()) {
    if (aBuffer.size() == 0) {
      return AnswerStep::NeedsMore;
    }
    beast::error_code error;
    const std::size_t used = m_parser->put(aBuffer.data(), error);
    aBuffer.consume(used);
    m_headerBytes += used;
    // The parser's own limit does not count the fields it has taken before.
    if ((error && error != http::error::need_more) ||
        m_headerBytes > kMaxHeaderBytes) {
      return AnswerStep::Malformed;
    }
    if (!m_parser->is_header_done()) {
      return AnswerStep::NeedsMore;
    }
    if (m_parser->IsInterim()) {
      StartParser();
    }
  }
  return AnswerStep::Whole;
}

AnswerStep
EndpointAnswer::TakeBody(beast::flat_buffer& aBuffer, std::string& aOut)
{
  while (!m_parser->is_done() && aBuffer.size() != 0) {
    auto& body = m_parser->get().body();
    body.data = m_chunk.data();
    body.size = m_chunk.size();
    beast::error_code error;
    const std::size_t used = m_parser->put(aBuffer.data(), error);
    aBuffer.consume(used);
    const std::size_t got = m_chunk.size() - body.size;
    aOut.append(m_chunk.data(), got);
    if (error && error != http::error::need_more &&
        error != http::error::need_buffer) {
      return AnswerStep::Malformed;
    }
    if (used == 0 && got == 0) {
      break;
    }
  }
  return m_parser->is_done() ? AnswerStep::Whole : AnswerStep::NeedsMore;
}

bool
EndpointAnswer::IsLineTooLong(const beast::flat_buffer& aBuffer)
{
  return aBuffer.size() > kMaxChunkHeaderBytes;
}

AnswerStep
EndpointAnswer::TakeEnd()
{
  beast::error_code error;
  m_parser->put_eof(error);
  return error ? AnswerStep::Malformed : AnswerStep::Whole;
}

} // namespace parsleycove
