// Choice of a chain of runners for one generation.
#pragma once

#include <optional>

#include "Base/Reason.h"
#include "Routing/Chain.h"
#include "Routing/RunnerTable.h"

namespace parsleycove {

enum class ChainError
{
  None,
  NoSuchModel,
  NoSuchVersion,
  NoRunnerForLayer,
  DeadlinePassed,
};
using ChainReason = Reason<ChainError>;

// Plans chains on one thread; each thread has an instance of its own.
class ChainPlanner
{
public:
  virtual ~ChainPlanner() = default;

  // Returns nothing when no chain can be had; LastReason() says why.
  virtual std::optional<Chain> Plan(TimePoint aNow,
                                    const RunnerTable& aTable,
                                    const ChainRequest& aRequest) = 0;
  const ChainReason& LastReason() const { return m_reason; }

protected:
  // Returns the runners of the version asked for, or null with a reason.
  const RunnerSet* FindRunners(const RunnerTable& aTable,
                               const ChainRequest& aRequest,
                               std::uint32_t& aLayers);
  // Says that no chain gets past aLayer.
  std::optional<Chain> FailAtLayer(const ChainRequest& aRequest,
                                   std::uint32_t aLayer);

  ChainReason m_reason;
};

} // namespace parsleycove
