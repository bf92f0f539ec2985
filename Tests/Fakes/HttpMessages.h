// The HTTP messages and the coroutine type that the stand-ins share.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace parsleycove::fakes {

using HttpRequest =
  boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
  boost::beast::http::response<boost::beast::http::string_body>;

template<typename Result>
using Awaitable = boost::asio::awaitable<Result>;

// Makes a JSON answer.
inline HttpResponse
JsonAnswer(unsigned aStatus, std::string aBody)
{
  HttpResponse response;
  response.result(aStatus);
  response.set(boost::beast::http::field::content_type, "application/json");
  response.body() = std::move(aBody);
  return response;
}

} // namespace parsleycove::fakes
