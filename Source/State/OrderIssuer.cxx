// Decides which order to an engine may be sent now.
#include "State/OrderIssuer.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "State/NamedEntities.h"

namespace parsleycove {

OrderIssuer::OrderIssuer(OrderIssuerOptions aOptions)
  : m_options(aOptions)
{
}

void
OrderIssuer::StartTerm(TimePoint aNow, std::uint64_t aTerm)
{
  m_term = aTerm;
  m_quietAt = aNow + m_options.m_leaderLease + m_options.m_maxOrderFlight;
  m_works.clear();
}

void
OrderIssuer::EndTerm()
{
  m_term = 0;
  m_works.clear();
}

void
OrderIssuer::Follow(const state::ConfigImageT& aImage,
                    const std::vector<std::string>& aMostNeededFirst)
{
  std::unordered_map<std::string_view, std::size_t> ranks;
  for (const std::string& endpoint : aMostNeededFirst) {
    ranks.emplace(endpoint, ranks.size());
  }
  std::map<std::string, Work> next;
  for (const auto& order : aImage.orders) {
    const state::EndpointT* endpoint =
      FindEntity(aImage.endpoints, order->endpoint->id);
    if (order->done || endpoint == nullptr) {
      continue;
    }
    Work work;
    if (Work* known = FindWork(order->id, order->sequence)) {
      work = std::move(*known);
    }
    work.m_order = *order;
    work.m_checksFencing = endpoint->checks_fencing;
    const auto rank = ranks.find(endpoint->id);
    work.m_rank = rank == ranks.end() ? ranks.size() : rank->second;
    next.emplace(order->id, std::move(work));
  }
  m_works = std::move(next);
}

OrderActions
OrderIssuer::TakeActions(TimePoint aNow, bool aHasLeaderLease)
{
  OrderActions actions;
  if (m_term == 0 || !aHasLeaderLease) {
    return actions;
  }
  std::set<std::string> readEndpoints;
  for (Work* work : SortByNeed()) {
    const state::EndpointRefT& endpoint = *work->m_order.endpoint;
    if (NeedsReadback(aNow, *work)) {
      work->m_nextReadback = aNow + m_options.m_repeatAfter;
      if (readEndpoints.insert(endpoint.id).second) {
        actions.m_readbacks.push_back(endpoint);
      }
    }
    if (MaySend(aNow, *work)) {
      Send(aNow, *work, actions);
    }
  }
  return actions;
}

void
OrderIssuer::NoteReadback(TimePoint aNow,
                          const std::string& aEndpoint,
                          const EngineReadback& aReadback)
{
  if (m_term == 0 || aReadback.m_term > m_term) {
    return;
  }
  for (auto& [id, work] : m_works) {
    const state::EndpointRefT& endpoint = *work.m_order.endpoint;
    if (endpoint.id != aEndpoint ||
        endpoint.incarnation != aReadback.m_incarnation) {
      continue;
    }
    work.m_readBack = true;
    if (IsCarriedOut(work.m_order, aReadback) && !work.m_carriedOut) {
      work.m_carriedOut = true;
      work.m_loading = false;
      work.m_nextTold = aNow;
    }
  }
}

void
OrderIssuer::NoteAccepted(const std::string& aOrder, std::uint64_t aSequence)
{
  std::erase_if(m_flights, [&](const auto& aPair) {
    return aPair.second.m_order == aOrder &&
           aPair.second.m_sequence == aSequence;
  });
  if (Work* work = FindWork(aOrder, aSequence)) {
    work->m_accepted = true;
  }
}

void
OrderIssuer::NoteFailed(const std::string& aOrder, std::uint64_t aSequence)
{
  if (Work* work = FindWork(aOrder, aSequence)) {
    work->m_loading = false;
  }
}

std::vector<state::FinishOrderT>
OrderIssuer::TakeFinished(TimePoint aNow)
{
  std::vector<state::FinishOrderT> result;
  for (auto& [id, work] : m_works) {
    if (!work.m_carriedOut || work.m_nextTold > aNow) {
      continue;
    }
    work.m_nextTold = aNow + m_options.m_repeatAfter;
    state::FinishOrderT finished;
    finished.id = id;
    finished.sequence = work.m_order.sequence;
    result.push_back(std::move(finished));
  }
  return result;
}

TimePoint
OrderIssuer::NextDeadline(TimePoint aNow) const
{
  TimePoint result = TimePoint::max();
  for (const auto& [id, work] : m_works) {
    if (work.m_carriedOut) {
      result = std::min(result, work.m_nextTold);
      continue;
    }
    const TimePoint first = work.m_checksFencing ? aNow : m_quietAt;
    TimePoint next = work.m_nextReadback;
    if (!work.m_accepted) {
      next = std::min(next, work.m_nextSend);
    }
    result = std::min(result, std::max(first, next));
  }
  return result;
}

bool
OrderIssuer::IsLoad(const state::EngineOrderT& aOrder)
{
  return aOrder.kind != state::OrderKind::ChangeRole;
}

std::vector<OrderIssuer::Work*>
OrderIssuer::SortByNeed()
{
  std::vector<Work*> result;
  for (auto& [id, work] : m_works) {
    result.push_back(&work);
  }
  std::sort(
    result.begin(), result.end(), [](const Work* aLeft, const Work* aRight) {
      return std::tie(aLeft->m_rank, aLeft->m_order.sequence) <
             std::tie(aRight->m_rank, aRight->m_order.sequence);
    });
  return result;
}

std::size_t
OrderIssuer::CountLoads() const
{
  return std::count_if(m_works.begin(), m_works.end(), [](const auto& aPair) {
    return aPair.second.m_loading;
  });
}

bool
OrderIssuer::NeedsReadback(TimePoint aNow, const Work& aWork) const
{
  const bool quiet = aWork.m_checksFencing || aNow >= m_quietAt;
  const bool useful = aWork.m_accepted || !aWork.m_readBack;
  return quiet && useful && !aWork.m_carriedOut && aNow >= aWork.m_nextReadback;
}

bool
OrderIssuer::MaySend(TimePoint aNow, const Work& aWork) const
{
  if (aWork.m_carriedOut || aWork.m_accepted || aNow < aWork.m_nextSend) {
    return false;
  }
  if (!aWork.m_checksFencing) {
    if (aNow < m_quietAt || !aWork.m_readBack) {
      return false;
    }
    const auto flight = m_flights.find(aWork.m_order.endpoint->id);
    if (flight != m_flights.end() && aNow < flight->second.m_endsAt) {
      return false;
    }
  }
  return !IsLoad(aWork.m_order) || aWork.m_loading ||
         CountLoads() < m_options.m_maxLoads;
}

void
OrderIssuer::Send(TimePoint aNow, Work& aWork, OrderActions& aActions)
{
  state::EngineOrderT order = aWork.m_order;
  order.term = m_term;
  aWork.m_loading = IsLoad(order);
  aWork.m_nextSend =
    aNow + std::max(m_options.m_repeatAfter, m_options.m_maxOrderFlight);
  aWork.m_nextReadback =
    std::max(aWork.m_nextReadback, aNow + m_options.m_repeatAfter);
  if (!aWork.m_checksFencing) {
    m_flights[order.endpoint->id] = { order.id,
                                      order.sequence,
                                      aNow + m_options.m_maxOrderFlight };
  }
  aActions.m_orders.push_back(std::move(order));
}

OrderIssuer::Work*
OrderIssuer::FindWork(const std::string& aOrder, std::uint64_t aSequence)
{
  const auto found = m_works.find(aOrder);
  if (found == m_works.end() || found->second.m_order.sequence != aSequence) {
    return nullptr;
  }
  return &found->second;
}

} // namespace parsleycove
