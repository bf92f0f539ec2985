// A model engine stand-in: the engine protocol over HTTP.
#pragma once

#include <boost/asio/io_context.hpp>

#include "Fakes/Announcer.h"
#include "Fakes/EngineCore.h"
#include "Fakes/HttpServer.h"
#include "Fakes/Rounds.h"

namespace parsleycove::fakes {

class EngineStandIn final
  : public HttpHandler
  , public AnnouncedEndpoint
{
public:
  EngineStandIn(boost::asio::io_context& aContext,
                const EngineOptions& aOptions);

  // Listens, prints "ready ADDRESS" and announces itself.
  void Start();
  // Leaves, lets running streams end and stops the context.
  Awaitable<void> Drain();

  Awaitable<HttpResponse> Handle(const HttpRequest& aRequest,
                                 Fate aFate) override;
  bool IsWork(const HttpRequest& aRequest) const override;
  std::string Audit() const override;
  boost::json::object Describe() override;
  boost::json::object TakeEvents() override;

private:
  Awaitable<HttpResponse> RunSteps(const boost::json::object& aBody,
                                   Fate aFate);
  HttpResponse TokenizeText(const boost::json::object& aBody) const;
  HttpResponse CancelStream(const boost::json::object& aBody);
  HttpResponse ExportCache(const boost::json::object& aBody) const;
  HttpResponse ImportCache(const boost::json::object& aBody);
  Awaitable<HttpResponse> CarryOut(const boost::json::object& aBody);
  HttpResponse State();
  boost::json::object DescribeLoad();
  Awaitable<void> Pause(double aMilliseconds);

  boost::asio::io_context& m_context;
  const EngineOptions& m_options;
  EngineCore m_core;
  Rounds m_rounds;
  HttpServer m_server;
  Announcer m_announcer;
};

} // namespace parsleycove::fakes
