// Blocking HTTP calls of tests.
#include "Support/TestHttp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace parsleycove {

namespace asio = boost::asio;
namespace http = boost::beast::http;

std::string
TestResponse::Header(const std::string& aName) const
{
  for (const TestHeader& header : m_headers) {
    if (boost::beast::iequals(header.m_name, aName)) {
      return header.m_value;
    }
  }
  return {};
}

TestResponse
SendHttp(std::uint16_t aPort,
         const std::string& aMethod,
         const std::string& aTarget,
         const std::vector<TestHeader>& aHeaders,
         const std::string& aBody)
{
  std::string bytes = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: x\r\n";
  for (const TestHeader& header : aHeaders) {
    bytes += header.m_name + ": " + header.m_value + "\r\n";
  }
  bytes += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return SendRaw(aPort, bytes + aBody);
}

TestResponse
SendRaw(std::uint16_t aPort, const std::string& aBytes)
{
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  const asio::ip::tcp::endpoint target(asio::ip::address_v4::loopback(), aPort);
  boost::system::error_code error;
  socket.connect(target, error);
  asio::write(socket, asio::buffer(aBytes), error);
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  error = {};
  http::read(socket, buffer, response, error);
  TestResponse result;
  if (error) {
    return result;
  }
  result.m_status = response.result_int();
  result.m_body = response.body();
  for (const auto& field : response) {
    result.m_headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return result;
}

} // namespace parsleycove
