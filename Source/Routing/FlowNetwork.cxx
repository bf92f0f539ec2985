// Maximum flow through a small directed network.
#include "Routing/FlowNetwork.h"

#include <algorithm>
#include <limits>

namespace parsleycove {

namespace {

// Smaller rests are rounding, in the unit of the capacities.
constexpr double kEpsilon = 1e-9;

} // namespace

FlowNetwork::FlowNetwork(std::size_t aNodes)
  : m_outgoing(aNodes)
{
}

std::size_t
FlowNetwork::AddNode()
{
  m_outgoing.emplace_back();
  return m_outgoing.size() - 1;
}

std::size_t
FlowNetwork::AddEdge(std::size_t aFrom, std::size_t aTo, double aCapacity)
{
  m_outgoing[aFrom].push_back(m_edges.size());
  m_edges.push_back({ aTo, aCapacity, aCapacity });
  m_outgoing[aTo].push_back(m_edges.size());
  m_edges.push_back({ aFrom, 0, 0 });
  return m_edges.size() / 2 - 1;
}

double
FlowNetwork::MaximumFlow(std::size_t aSource, std::size_t aSink)
{
  for (Edge& edge : m_edges) {
    edge.m_residual = edge.m_capacity;
  }
  double total = 0;
  while (FindLevels(aSource, aSink)) {
    m_next.assign(m_outgoing.size(), 0);
    for (;;) {
      const double pushed =
        Push(aSource, aSink, std::numeric_limits<double>::infinity());
      if (pushed <= kEpsilon) {
        break;
      }
      total += pushed;
    }
  }
  return total;
}

double
FlowNetwork::FlowOver(std::size_t aEdge) const
{
  return m_edges[2 * aEdge + 1].m_residual;
}

bool
FlowNetwork::FindLevels(std::size_t aSource, std::size_t aSink)
{
  m_levels.assign(m_outgoing.size(), -1);
  m_levels[aSource] = 0;
  std::vector<std::size_t> queue{ aSource };
  for (std::size_t i = 0; i < queue.size(); ++i) {
    const std::size_t node = queue[i];
    for (const std::size_t index : m_outgoing[node]) {
      const Edge& edge = m_edges[index];
      if (edge.m_residual > kEpsilon && m_levels[edge.m_to] < 0) {
        m_levels[edge.m_to] = m_levels[node] + 1;
        queue.push_back(edge.m_to);
      }
    }
  }
  return m_levels[aSink] >= 0;
}

double
FlowNetwork::Push(std::size_t aNode, std::size_t aSink, double aLimit)
{
  if (aNode == aSink) {
    return aLimit;
  }
  // The depth is bounded by the number of stages.
  for (std::size_t& next = m_next[aNode]; next < m_outgoing[aNode].size();
       ++next) {
    const std::size_t index = m_outgoing[aNode][next];
    const Edge edge = m_edges[index];
    const bool descends =
      edge.m_residual > kEpsilon && m_levels[edge.m_to] == m_levels[aNode] + 1;
    if (!descends) {
      continue;
    }
    const double pushed =
      Push(edge.m_to, aSink, std::min(aLimit, edge.m_residual));
    if (pushed > kEpsilon) {
      m_edges[index].m_residual -= pushed;
      m_edges[index ^ 1].m_residual += pushed;
      return pushed;
    }
  }
  return 0;
}

} // namespace parsleycove
