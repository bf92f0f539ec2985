// Replays gateways that share one endpoint with a limit.
#include "Routing/LimitFleet.h"

#include <algorithm>

#include "State/EndpointLimitTable.h"

namespace parsleycove {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(5);
constexpr Duration kWindow = std::chrono::seconds(4);
const std::string kEndpoint = "e1";

} // namespace

LimitFleet::LimitFleet(std::uint64_t aSeed)
  : m_random(aSeed)
{
  m_cluster.AddService(kEndpoint, "plain");
  auto endpoint = std::make_unique<state::EndpointT>();
  endpoint->id = kEndpoint;
  endpoint->incarnation =
    m_cluster.Build()->FindRunner(kEndpoint)->m_incarnation;
  m_image.endpoints.push_back(std::move(endpoint));
}

std::size_t
LimitFleet::AddGateway(double aDemand)
{
  Gateway& gateway = m_gateways.emplace_back();
  gateway.m_name = "vm-" + std::to_string(m_gateways.size());
  gateway.m_demand = aDemand;
  Restart(m_gateways.size() - 1);
  return m_gateways.size() - 1;
}

void
LimitFleet::SetDemand(std::size_t aGateway, double aDemand)
{
  m_gateways[aGateway].m_demand = aDemand;
}

void
LimitFleet::Restart(std::size_t aGateway)
{
  Gateway& gateway = m_gateways[aGateway];
  gateway.m_limits = std::make_unique<EndpointLimits>(gateway.m_name);
  gateway.m_runners = m_cluster.Build();
  gateway.m_image = std::make_shared<state::ConfigImageT>(m_image);
  gateway.m_heardAt = m_now;
  gateway.m_limits->Apply(m_now,
                          *gateway.m_image,
                          *gateway.m_runners,
                          static_cast<std::uint32_t>(m_gateways.size()));
}

void
LimitFleet::Stop(std::size_t aGateway)
{
  m_gateways[aGateway].m_isStopped = true;
}

void
LimitFleet::Freeze(std::size_t aGateway, Duration aFor)
{
  m_gateways[aGateway].m_frozenUntil = m_now + aFor;
}

void
LimitFleet::Cut(std::size_t aGateway, Duration aFor)
{
  m_gateways[aGateway].m_cutUntil = m_now + aFor;
}

void
LimitFleet::CutAll(Duration aFor)
{
  for (std::size_t i = 0; i < m_gateways.size(); ++i) {
    Cut(i, aFor);
  }
}

void
LimitFleet::Run(Duration aFor)
{
  const TimePoint end = m_now + aFor;
  while (m_now < end) {
    Step();
  }
}

RunnerPtr
LimitFleet::RunnerOf(const Gateway& aGateway) const
{
  return RunnerPtr(aGateway.m_runners->FindRunner(kEndpoint));
}

void
LimitFleet::Step()
{
  m_now += kStep;
  while (!m_messages.empty() && m_messages.front().m_at <= m_now) {
    const auto deliver = std::move(m_messages.front().m_deliver);
    m_messages.pop_front();
    deliver();
  }
  DeliverAnswers();
  for (std::size_t i = 0; i < m_gateways.size(); ++i) {
    Gateway& gateway = m_gateways[i];
    if (gateway.m_isStopped || m_now < gateway.m_frozenUntil) {
      continue;
    }
    if (m_now >= gateway.m_cutUntil && m_now >= m_gateways[i].m_frozenUntil) {
      // A connection to the control group brings the newest table.
      if (m_now - gateway.m_heardAt > kLease) {
        gateway.m_image = std::make_shared<state::ConfigImageT>(m_image);
        gateway.m_limits->Apply(m_now,
                                *gateway.m_image,
                                *gateway.m_runners,
                                static_cast<std::uint32_t>(m_gateways.size()));
      }
      gateway.m_heardAt = m_now;
    }
    if (m_now - gateway.m_heardAt <= kLease) {
      SendRequests(i);
    }
    SendClaims(i);
  }
}

void
LimitFleet::SendRequests(std::size_t aGateway)
{
  const Gateway& gateway = m_gateways[aGateway];
  const double expected =
    gateway.m_demand * std::chrono::duration<double>(kStep).count();
  if (m_random.Fraction() >= expected) {
    return;
  }
  RequestQuota& quota = RunnerOf(gateway)->m_load->Quota();
  quota.RecordDemand(m_now);
  if (!quota.MayTake(m_now)) {
    return;
  }
  quota.Take(m_now);
  m_arrivals.push_back(m_now);
  m_answers.push_back({ m_now + kAnswerDelay, m_now, aGateway, m_limit });
}

void
LimitFleet::DeliverAnswers()
{
  while (!m_answers.empty() && m_answers.front().m_at <= m_now) {
    const Answer answer = m_answers.front();
    m_answers.pop_front();
    Gateway& gateway = m_gateways[answer.m_gateway];
    if (gateway.m_isStopped || m_now < gateway.m_frozenUntil) {
      continue;
    }
    const RunnerPtr runner = RunnerOf(gateway);
    if (answer.m_limit) {
      gateway.m_limits->RecordNamed(
        m_now,
        runner,
        *answer.m_limit,
        static_cast<std::uint32_t>(m_gateways.size()));
    } else {
      gateway.m_limits->RecordUnnamed(m_now, answer.m_sentAt, *runner);
    }
  }
}

void
LimitFleet::SendClaims(std::size_t aGateway)
{
  Gateway& gateway = m_gateways[aGateway];
  gateway.m_limits->TakeChanges();
  auto claims = gateway.m_limits->TakeClaims(
    m_now, *gateway.m_image, static_cast<std::uint32_t>(m_gateways.size()));
  if (!claims || m_now < gateway.m_cutUntil) {
    return;
  }
  const auto shared =
    std::make_shared<state::ClaimEndpointLimitsT>(std::move(*claims));
  m_messages.push_back(
    { m_now + kControlDelay, [this, shared] { ApplyClaims(*shared); } });
}

void
LimitFleet::ApplyClaims(const state::ClaimEndpointLimitsT& aClaims)
{
  ++m_commands;
  state::ClaimEndpointLimitsT stamped = aClaims;
  stamped.unix_ms = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      m_now.time_since_epoch())
      .count());
  state::CommandResultT result;
  ApplyClaimEndpointLimits(m_image, stamped, result);
  if (result.code != state::ResultCode::Ok) {
    return;
  }
  const auto image = std::make_shared<state::ConfigImageT>(m_image);
  m_messages.push_back(
    { m_now + kControlDelay, [this, image] {
       for (Gateway& gateway : m_gateways) {
         if (gateway.m_isStopped || m_now < gateway.m_frozenUntil ||
             m_now < gateway.m_cutUntil) {
           continue;
         }
         gateway.m_image = image;
         gateway.m_limits->Apply(m_now,
                                 *image,
                                 *gateway.m_runners,
                                 static_cast<std::uint32_t>(m_gateways.size()));
       }
     } });
}

std::size_t
LimitFleet::Count(TimePoint aFrom, TimePoint aUntil) const
{
  return static_cast<std::size_t>(
    std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](TimePoint aAt) {
      return aAt >= aFrom && aAt < aUntil;
    }));
}

std::size_t
LimitFleet::MostInWindow(TimePoint aFrom) const
{
  std::size_t most = 0;
  for (const TimePoint begin : m_arrivals) {
    if (begin >= aFrom) {
      most = std::max(most, Count(begin, begin + kWindow));
    }
  }
  return most;
}

double
LimitFleet::OwnPerSecond(std::size_t aGateway) const
{
  return RunnerOf(m_gateways[aGateway])->m_load->Quota().PerSecond();
}

} // namespace parsleycove
