// Interface of the planners that choose a chain of runners for one generation.
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

// Plans chains on one thread; each thread has a separate instance.
class ChainPlanner
{
public:
  virtual ~ChainPlanner() = default;

  // Returns std::nullopt if no chain is available; LastReason() then gives the
  // reason.
  virtual std::optional<Chain> Plan(TimePoint aNow,
                                    const RunnerTable& aTable,
                                    const ChainRequest& aRequest) = 0;
  const ChainReason& LastReason() const { return m_reason; }

protected:
  // Returns the runners of the requested version and sets aLayers to the
  // model's number of layers. Returns nullptr and sets the reason if there are
  // none.
  const RunnerSet* FindRunners(const RunnerTable& aTable,
                               const ChainRequest& aRequest,
                               std::uint32_t& aLayers);
  // Sets the reason that no ready runner continues a chain at aLayer, and
  // returns std::nullopt.
  std::optional<Chain> FailAtLayer(const ChainRequest& aRequest,
                                   std::uint32_t aLayer);

  ChainReason m_reason;
};

} // namespace parsleycove
