// Parses the answers of one call, judges their form and counts what is held.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>

#include "Forwarding/HeldAnswer.h"
#include "Wire/AnswerParser.h"

namespace parsleycove {

enum class AnswerStep
{
  // The rest has not arrived.
  NeedsMore,
  Whole,
  // The bytes are no answer, or more than an answer may have.
  Malformed,
};

// Takes the bytes of an answer from the buffer of a connection, without input
// or output.
class EndpointAnswer
{
public:
  using Header = http::response_header<>;

  // Counts what is held against aBudget from now on. aOnRefused is called at
  // most once, when the answer is refused in favour of others.
  void Count(std::shared_ptr<ReceiveBudget> aBudget,
             std::function<void()> aOnRefused);
  // Sets what else is held besides the body that TakeBody() appends to.
  void SetKeptBytes(std::size_t aBytes) { m_keptBytes = aBytes; }
  // Counts aBytes and what is held besides. Returns false if the answer is
  // refused.
  bool Hold(std::size_t aBytes);
  // Records that nothing is held any more.
  void Release();

  // Must be called before each answer.
  void Start();
  // Skips interim answers. Returns Whole once the header of the final answer
  // has been taken.
  AnswerStep TakeHeader(beast::flat_buffer& aBuffer);
  // Appends to aOut what has arrived of the body. Requires a whole header.
  AnswerStep TakeBody(beast::flat_buffer& aBuffer, std::string& aOut);
  // Returns true if more is left in the buffer than the line of a chunk, or the
  // trailers, may have. The parser leaves them there until they are whole.
  static bool IsLineTooLong(const beast::flat_buffer& aBuffer);
  // Returns Whole if the answer may end with its connection.
  AnswerStep TakeEnd();

  bool HasHeader() const { return m_parser && m_parser->is_header_done(); }
  // Requires Start().
  const Header& Head() const { return m_parser->get().base(); }
  bool IsWhole() const { return m_parser && m_parser->is_done(); }
  // Returns true if the answer ends with its connection.
  bool NeedsEnd() const { return m_parser->need_eof(); }
  bool KeepsConnection() const { return m_parser->get().keep_alive(); }

private:
  using Parser = AnswerParser<http::buffer_body>;

  void StartParser();

  std::optional<Parser> m_parser;
  // Bytes of the headers of the current answer, and of the interim answers
  // before it, that the parser has taken.
  std::size_t m_headerBytes = 0;
  // Empty if answers are not counted.
  std::optional<HeldAnswer> m_held;
  std::size_t m_keptBytes = 0;
  std::array<char, 8192> m_chunk{};
};

} // namespace parsleycove
