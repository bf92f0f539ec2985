// Assigns the layer ranges of one model to runners for a high maximum flow, and
// moves few runners when the set of runners changes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace parsleycove {

struct LayerRange
{
  std::uint32_t m_firstLayer = 0;
  // Inclusive.
  std::uint32_t m_lastLayer = 0;

  std::uint32_t Length() const { return m_lastLayer - m_firstLayer + 1; }
  bool operator==(const LayerRange&) const = default;
};

// A runner that may hold a range of the model's layers.
struct PlacementRunner
{
  std::string m_id;
  std::uint64_t m_incarnation = 0;
  // Tokens per second if the runner held a single layer; n layers divide this
  // rate by n.
  double m_layerTokensPerSecond = 0;
  // Number of layers that fit into the runner's memory.
  std::uint32_t m_memoryLayers = 0;
  // Range that the runner holds now; std::nullopt if none.
  std::optional<LayerRange> m_currentRange;
};

// An absolute order: the runner is to hold exactly m_range, whatever it holds
// now.
struct HoldLayersOrder
{
  std::string m_id;
  std::uint64_t m_incarnation = 0;
  LayerRange m_range;
};

struct Placement
{
  // Orders for the runners whose range changes, most needed first.
  std::vector<HoldLayersOrder> m_orders;
  // Maximum flow in tokens per second once all orders are carried out.
  double m_flow = 0;
};

struct PlacementSettings
{
  // A rebalanced placement is kept if it reaches this share of the flow of a
  // placement from scratch.
  double m_minFlowShare = 0.9;
  // Maximum number of moves of a rebalance. If more are needed, the placement
  // from scratch is used.
  std::size_t m_maxMoves = 32;
};

// A placement from scratch splits the model into stages of near-equal length
// and assigns runners to the stage with the lowest rate first; runners with too
// little memory form additional pipelines of shorter stages. A rebalance keeps
// the present split and moves single runners to the ranges where the flow gains
// most.
class PlacementPlanner
{
public:
  explicit PlacementPlanner(PlacementSettings aSettings);

  Placement Plan(std::uint32_t aLayers,
                 const std::vector<PlacementRunner>& aRunners) const;

private:
  // Range by runner; std::nullopt if the runner holds no layers.
  using Assignment = std::vector<std::optional<LayerRange>>;
  // Value of a placement: first the flow, then how evenly layers are covered.
  struct Score
  {
    double m_flow = 0;
    double m_coverage = 0;
  };

  static Score ComputeScore(std::uint32_t aLayers,
                            const std::vector<PlacementRunner>& aRunners,
                            const Assignment& aAssignment,
                            double aTargetFlow);
  static Assignment PlanFromScratch(
    std::uint32_t aLayers,
    const std::vector<PlacementRunner>& aRunners);
  Assignment Rebalance(std::uint32_t aLayers,
                       const std::vector<PlacementRunner>& aRunners,
                       double aTargetFlow,
                       std::vector<std::size_t>& aMoved) const;

  const PlacementSettings m_settings;
};

} // namespace parsleycove
