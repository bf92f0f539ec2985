// Maximum flow through a small directed network.
#pragma once

#include <cstddef>
#include <vector>

namespace parsleycove {

// Dinic's algorithm over real capacities.
class FlowNetwork
{
public:
  explicit FlowNetwork(std::size_t aNodes);

  std::size_t AddNode();
  // Returns the edge's number.
  std::size_t AddEdge(std::size_t aFrom, std::size_t aTo, double aCapacity);
  // Computes the flow from scratch, whatever was computed before.
  double MaximumFlow(std::size_t aSource, std::size_t aSink);
  // What the last computation sent over an edge.
  double FlowOver(std::size_t aEdge) const;

private:
  struct Edge
  {
    std::size_t m_to = 0;
    double m_capacity = 0;
    // Capacity that is left; the reverse edge's is the flow.
    double m_residual = 0;
  };

  bool FindLevels(std::size_t aSource, std::size_t aSink);
  double Push(std::size_t aNode, std::size_t aSink, double aLimit);

  // Edge 2n and its reverse 2n+1.
  std::vector<Edge> m_edges;
  std::vector<std::vector<std::size_t>> m_outgoing;
  std::vector<int> m_levels;
  std::vector<std::size_t> m_next;
};

} // namespace parsleycove
