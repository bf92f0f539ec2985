// Gives engines their layers while this VM's replica leads.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "Placement/EngineOrders.h"
#include "Placement/PlacementTracker.h"
#include "Routing/RoutingConfig.h"
#include "Routing/RunnerTable.h"
#include "State/ControlPort.h"
#include "Telemetry/DecisionLog.h"

namespace parsleycove {

class PlacementController
{
public:
  // Term that this VM's replica leads; 0: it does not lead.
  using TermReader = std::function<std::uint64_t()>;

  PlacementController(asio::io_context& aContext,
                      ControlPort& aControl,
                      const RoutingConfigCodec& aCodec,
                      EngineOrders& aOrders,
                      DecisionLog& aLog,
                      TermReader aTerm);

  void Start();

private:
  void Reconcile();
  void UpdateView();
  void ReconcileService(const ServiceRule& aService);
  asio::awaitable<void> ProbeEngine(std::string aService, RunnerPtr aEngine);
  asio::awaitable<void> SendOrder(std::string aService,
                                  DueOrder aOrder,
                                  std::uint64_t aTerm);

  asio::io_context& m_context;
  ControlPort& m_control;
  const RoutingConfigCodec& m_codec;
  EngineOrders& m_orders;
  DecisionLog& m_log;
  const TermReader m_readTerm;
  asio::steady_timer m_timer;
  std::uint64_t m_term = 0;
  // Another leader has given orders since: none before a new term.
  bool m_isFenced = false;
  boost::intrusive_ptr<const ClusterView> m_view;
  boost::intrusive_ptr<const RoutingConfig> m_config;
  // Of the last document that was looked at, also of one that is not in force.
  std::uint64_t m_documentVersion = 0;
  boost::intrusive_ptr<const RunnerTable> m_runners;
  std::map<std::string, PlacementTracker, std::less<>> m_trackers;
};

} // namespace parsleycove
