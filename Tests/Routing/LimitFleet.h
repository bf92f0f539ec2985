// Replays gateways that share one endpoint with a limit, with their messages to
// the control group and faults.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Routing/EndpointLimits.h"
#include "Routing/Random.h"
#include "Routing/TestCluster.h"

namespace parsleycove {

class LimitFleet
{
public:
  // Time from a gateway to the control group, and back.
  static constexpr Duration kControlDelay = std::chrono::milliseconds(20);
  static constexpr Duration kAnswerDelay = std::chrono::milliseconds(30);
  // A gateway without the control group takes no new work after this time.
  static constexpr Duration kLease = std::chrono::seconds(3);

  explicit LimitFleet(std::uint64_t aSeed);

  // The endpoint names this limit from now on, in requests a second;
  // std::nullopt: none.
  void SetLimit(std::optional<double> aPerSecond) { m_limit = aPerSecond; }
  // Adds a gateway that gets so many requests a second. Returns its number.
  std::size_t AddGateway(double aDemand);
  void SetDemand(std::size_t aGateway, double aDemand);
  // The process is replaced by one that knows nothing.
  void Restart(std::size_t aGateway);
  void Stop(std::size_t aGateway);
  void Freeze(std::size_t aGateway, Duration aFor);
  // The gateway does not reach the control group.
  void Cut(std::size_t aGateway, Duration aFor);
  // No gateway reaches the control group.
  void CutAll(Duration aFor);
  void Run(Duration aFor);

  TimePoint Now() const { return m_now; }
  // Requests that reached the endpoint between two times.
  std::size_t Count(TimePoint aFrom, TimePoint aUntil) const;
  // The most requests in any 4 s after aFrom.
  std::size_t MostInWindow(TimePoint aFrom) const;
  double OwnPerSecond(std::size_t aGateway) const;
  std::size_t Commands() const { return m_commands; }

private:
  struct Gateway
  {
    std::string m_name;
    double m_demand = 0;
    std::unique_ptr<EndpointLimits> m_limits;
    boost::intrusive_ptr<const RunnerTable> m_runners;
    std::shared_ptr<const state::ConfigImageT> m_image;
    TimePoint m_frozenUntil{};
    TimePoint m_cutUntil{};
    TimePoint m_heardAt{};
    bool m_isStopped = false;
  };
  struct Answer
  {
    TimePoint m_at{};
    TimePoint m_sentAt{};
    std::size_t m_gateway = 0;
    std::optional<double> m_limit;
  };
  struct Message
  {
    TimePoint m_at{};
    std::function<void()> m_deliver;
  };

  void Step();
  void SendRequests(std::size_t aGateway);
  void DeliverAnswers();
  void SendClaims(std::size_t aGateway);
  void ApplyClaims(const state::ClaimEndpointLimitsT& aClaims);
  RunnerPtr RunnerOf(const Gateway& aGateway) const;

  Random m_random;
  TestCluster m_cluster;
  state::ConfigImageT m_image;
  std::optional<double> m_limit;
  std::vector<Gateway> m_gateways;
  std::deque<Answer> m_answers;
  std::deque<Message> m_messages;
  std::vector<TimePoint> m_arrivals;
  TimePoint m_now = kTestStart;
  std::size_t m_commands = 0;
};

} // namespace parsleycove
