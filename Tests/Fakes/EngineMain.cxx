// parsleycove-engine: one model engine stand-in as a process.
#include <csignal>
#include <cstdio>
#include <exception>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include "Fakes/EngineStandIn.h"

int
main(int argc, char** argv)
{
  using namespace parsleycove::fakes; // NOLINT: the whole program's namespace
  EngineOptions options;
  if (!ReadEngineOptions(argc, argv, options)) {
    return 1;
  }
  boost::asio::io_context context(1);
  EngineStandIn engine(context, options);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const auto& aError, int) {
    if (!aError) {
      boost::asio::co_spawn(context, engine.Drain(), boost::asio::detached);
    }
  });
  try {
    engine.Start();
    context.run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "parsleycove-engine: %s\n", error.what());
    return 1;
  }
  return 0;
}
