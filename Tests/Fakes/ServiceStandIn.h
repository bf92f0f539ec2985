// A plain-service stand-in: bookings that run once per call, and lookups.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <tuple>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Fakes/Announcer.h"
#include "Fakes/HttpServer.h"
#include "Fakes/LoadReports.h"
#include "Fakes/ServiceOptions.h"

namespace parsleycove::fakes {

// Every call but a GET runs as often as it arrives: the service itself guards
// nothing, so that its audit shows each call that was passed on twice.
class ServiceStandIn final
  : public HttpHandler
  , public AnnouncedEndpoint
{
public:
  ServiceStandIn(boost::asio::io_context& aContext,
                 const ServiceOptions& aOptions);

  // Listens, prints "ready ADDRESS" and announces itself.
  void Start();
  // Leaves, finishes the calls that run and stops the context.
  Awaitable<void> Drain();

  Awaitable<HttpResponse> Handle(const HttpRequest& aRequest,
                                 Fate aFate) override;
  bool IsWork(const HttpRequest& aRequest) const override;
  std::string Audit() const override;
  boost::json::object Describe() override;
  boost::json::object TakeEvents() override;

private:
  // A call that ran.
  struct Booking
  {
    std::string m_key;
    std::string m_path;
    std::string m_body;

    bool operator<(const Booking& aOther) const
    {
      return std::tie(m_key, m_path, m_body) <
             std::tie(aOther.m_key, aOther.m_path, aOther.m_body);
    }
  };

  Awaitable<void> TakeSlot();
  void FreeSlot();
  HttpResponse Book(const HttpRequest& aRequest);
  HttpResponse LookUp(const HttpRequest& aRequest) const;
  void RecordLoad();

  boost::asio::io_context& m_context;
  const ServiceOptions& m_options;
  HttpServer m_server;
  Announcer m_announcer;
  LoadReports m_load;
  std::list<boost::asio::steady_timer*> m_waiting; // calls without a slot
  std::uint32_t m_running = 0;
  std::uint64_t m_nextNumber = 1;
  std::map<Booking, std::uint32_t> m_bookings; // how often each ran
};

} // namespace parsleycove::fakes
