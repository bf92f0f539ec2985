// Assigns layer ranges of one model to runners.
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

// A runner that may hold a range of the model.
struct PlacementRunner
{
  std::string m_id;
  std::uint64_t m_incarnation = 0;
  // Tokens a second if it held a single layer; n layers divide it by n.
  double m_layerTokensPerSecond = 0;
  // How many layers fit into its memory.
  std::uint32_t m_memoryLayers = 0;
  // What it holds now.
  std::optional<LayerRange> m_currentRange;
};

// An absolute order: the runner is to hold exactly this range.
struct HoldLayersOrder
{
  std::string m_id;
  std::uint64_t m_incarnation = 0;
  LayerRange m_range;
};

struct Placement
{
  // Only for runners whose range changes, most needed first.
  std::vector<HoldLayersOrder> m_orders;
  // Maximum flow in tokens a second once all orders are done.
  double m_flow = 0;
};

struct PlacementSettings
{
  // A repair that gets this share of a fresh placement's flow is kept.
  double m_minFlowShare = 0.9;
  // Moves of a repair; more make it a fresh placement.
  std::size_t m_maxMoves = 32;
};

// A fresh placement cuts the model into stages of near-equal length and fills
// the least served stage first; runners with too little memory form further
// chains of shorter stages. A repair keeps the present cut and moves single
// runners to where the flow gains most.
class PlacementPlanner
{
public:
  explicit PlacementPlanner(PlacementSettings aSettings);

  Placement Plan(std::uint32_t aLayers,
                 const std::vector<PlacementRunner>& aRunners) const;

private:
  // By runner; empty: it holds nothing.
  using Assignment = std::vector<std::optional<LayerRange>>;
  // What a placement is worth: the flow, then how evenly layers are covered.
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
