// parsleycove-service: one plain-service stand-in as a process.
#include <csignal>
#include <cstdio>
#include <exception>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include "Fakes/ServiceStandIn.h"

int
main(int argc, char** argv)
{
  using namespace parsleycove::fakes; // NOLINT: the whole program's namespace
  ServiceOptions options;
  if (!ReadServiceOptions(argc, argv, options)) {
    return 1;
  }
  boost::asio::io_context context(1);
  ServiceStandIn service(context, options);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const auto& aError, int) {
    if (!aError) {
      boost::asio::co_spawn(context, service.Drain(), boost::asio::detached);
    }
  });
  try {
    service.Start();
    context.run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "parsleycove-service: %s\n", error.what());
    return 1;
  }
  return 0;
}
