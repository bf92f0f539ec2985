// Reservation of a chain for one generation, counted in the load of its
// runners.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Base/Clock.h"
#include "Routing/Chain.h"

namespace parsleycove {

// A step that was sent to a stage and has not been answered.
struct OutstandingStep
{
  std::size_t m_stage = 0;
  std::uint32_t m_position = 0;
  std::uint32_t m_count = 0;
  TimePoint m_sentAt;
  TimePoint m_timeoutAt;
};

// Invariant: each runner of the chain counts one stream, and the runner of the
// outstanding step counts that step, until the reservation is released or
// destroyed.
class ChainReservation
{
public:
  ChainReservation() = default;
  ~ChainReservation() { Release(); }
  ChainReservation(const ChainReservation&) = delete;
  ChainReservation& operator=(const ChainReservation&) = delete;

  void Reserve(Chain aChain);
  void Release();
  std::size_t StageCount() const { return m_chain.m_stages.size(); }
  const RunnerPtr& RunnerAt(std::size_t aStage) const;

  // Counts aStep in its runner's load. At most one step is outstanding.
  void StartStep(const OutstandingStep& aStep);
  const std::optional<OutstandingStep>& Step() const { return m_step; }
  // Ends the outstanding step after a successful answer and records its
  // duration.
  void FinishStep(TimePoint aNow);

private:
  Chain m_chain;
  std::optional<OutstandingStep> m_step;
};

} // namespace parsleycove
