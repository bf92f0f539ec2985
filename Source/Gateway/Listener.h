// Accepts connections and spreads them over the workers.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "Wire/Http.h"

namespace parsleycove {

class RequestRouter;
class Worker;
struct GatewayServices;

class Listener
{
public:
  Listener(const GatewayServices& aServices,
           const RequestRouter& aRouter,
           const std::vector<std::unique_ptr<Worker>>& aWorkers);

  // Binds and listens; false with the reason when that fails.
  bool Open(std::string& aReason);
  std::uint16_t Port() const;
  // Accepts until the worker that it runs on stops.
  asio::awaitable<void> Run();

private:
  void Serve(Tcp::socket aSocket, Worker& aWorker);

  const GatewayServices& m_services;
  const RequestRouter& m_router;
  const std::vector<std::unique_ptr<Worker>>& m_workers;
  Tcp::acceptor m_acceptor;
  std::atomic<std::size_t> m_connections{ 0 };
};

} // namespace parsleycove
