// HTTP/1.1 server of the stand-ins, with the faults of connections built in.
#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Base/SocketAddress.h"
#include "Fakes/Faults.h"
#include "Fakes/HttpMessages.h"

namespace parsleycove::fakes {

// What a stand-in answers.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;

  virtual Awaitable<HttpResponse> Handle(const HttpRequest& aRequest,
                                         Fate aFate) = 0;
  // Whether counted faults, such as "drop_next", count this request.
  virtual bool IsWork(const HttpRequest& aRequest) const = 0;
  // The body of GET /fake/audit.
  virtual std::string Audit() const = 0;
};

// Accepts connections and runs each as a coroutine on one thread.
//
// Requests below /fake/ are answered here and are never delayed or lost.
class HttpServer
{
public:
  HttpServer(boost::asio::io_context& aContext, HttpHandler& aHandler);

  // Throws boost::system::system_error when the address can't be had.
  void Listen(const SocketAddress& aAddress);
  SocketAddress LocalAddress() const;

  Faults& Switches() { return m_faults; }

private:
  using Socket = boost::asio::ip::tcp::socket;

  Awaitable<void> Accept();
  Awaitable<void> Serve(Socket aSocket);
  // False: the connection is to be closed without an answer.
  Awaitable<bool> Answer(const HttpRequest& aRequest, HttpResponse& aResponse);
  HttpResponse AnswerControl(const HttpRequest& aRequest);
  Awaitable<void> WaitWhileFrozen();

  boost::asio::io_context& m_context;
  HttpHandler& m_handler;
  boost::asio::ip::tcp::acceptor m_acceptor;
  Faults m_faults;
};

} // namespace parsleycove::fakes
