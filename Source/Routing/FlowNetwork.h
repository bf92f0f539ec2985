// Maximum flow through a small directed network.
#pragma once

#include <cstddef>
#include <vector>

namespace parsleycove {

// Dinic's algorithm for real-valued capacities.
class FlowNetwork
{
public:
  explicit FlowNetwork(std::size_t aNodes);

  std::size_t AddNode();
  // Returns the number of the new edge.
  std::size_t AddEdge(std::size_t aFrom, std::size_t aTo, double aCapacity);
  // Computes the maximum flow from scratch, regardless of earlier computations.
  double MaximumFlow(std::size_t aSource, std::size_t aSink);
  // Returns the flow over an edge in the last computation.
  double FlowOver(std::size_t aEdge) const;

private:
  struct Edge
  {
    std::size_t m_to = 0;
    double m_capacity = 0;
    // Residual capacity; that of the reverse edge is the flow.
    double m_residual = 0;
  };

  bool FindLevels(std::size_t aSource, std::size_t aSink);
  double Push(std::size_t aNode, std::size_t aSink, double aLimit);

  // Edge n is at index 2n and its reverse edge at index 2n+1.
  std::vector<Edge> m_edges;
  std::vector<std::vector<std::size_t>> m_outgoing;
  std::vector<int> m_levels;
  std::vector<std::size_t> m_next;
};

} // namespace parsleycove
