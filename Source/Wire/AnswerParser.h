// Reads answers to HTTP requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include "Wire/StrictParser.h"

namespace parsleycove {

// Parser of one answer. An answer whose status is not a status of HTTP, or that
// switches protocols, which no request asks for, is malformed.
template<class Body>
class AnswerParser final : public StrictParser<false, Body>
{
public:
  // Must be called after the header was read. Returns true if the answer comes
  // before the final one.
  bool IsInterim() const
  {
    return this->get().result_int() < kFirstFinalStatus;
  }

private:
  static constexpr int kFirstStatus = 100;
  static constexpr int kSwitchingProtocols = 101;
  static constexpr int kFirstFinalStatus = 200;
  static constexpr int kLastStatus = 599;

  void on_response_impl(int aStatus,
                        beast::string_view aReason,
                        int aVersion,
                        beast::error_code& aError) override
  {
    if (aStatus < kFirstStatus || aStatus > kLastStatus ||
        aStatus == kSwitchingProtocols) {
      aError = http::error::bad_status;
      return;
    }
    auto& answer = this->get();
    answer.result(static_cast<unsigned>(aStatus));
    answer.version(static_cast<unsigned>(aVersion));
    answer.reason(aReason);
  }
};

using StringAnswerParser = AnswerParser<http::string_body>;

// Reads one whole answer into aParser and skips interim answers. aMayHold is
// called with the bytes that are held after each read, and returns false to end
// it.
template<class Stream, class MayHold>
asio::awaitable<beast::error_code>
ReadAnswer(Stream& aStream,
           beast::flat_buffer& aBuffer,
           std::optional<StringAnswerParser>& aParser,
           std::uint64_t aMaxBodyBytes,
           const MayHold& aMayHold)
{
  constexpr int kMaxInterimAnswers = 16;
  for (int i = 0; i <= kMaxInterimAnswers; ++i) {
    aParser.emplace();
    aParser->body_limit(aMaxBodyBytes);
    aParser->eager(true);
    while (!aParser->is_done()) {
      const auto [error, bytes] = co_await http::async_read_some(
        aStream, aBuffer, *aParser, asio::as_tuple(asio::use_awaitable));
      if (error) {
        co_return error;
      }
      if (!aMayHold(aParser->get().body().size() + aBuffer.size())) {
        co_return asio::error::no_buffer_space;
      }
    }
    if (!aParser->IsInterim()) {
      co_return beast::error_code{};
    }
  }
  co_return http::error::bad_status;
}

} // namespace parsleycove
