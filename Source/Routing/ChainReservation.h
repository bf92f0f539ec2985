// A chain in use by one generation, counted in the load of its runners.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Base/Clock.h"
#include "Routing/Chain.h"

namespace parsleycove {

// The step that a stage was sent and has not answered.
struct OutstandingStep
{
  std::size_t m_stage = 0;
  std::uint32_t m_position = 0;
  std::uint32_t m_count = 0;
  TimePoint m_sentAt;
  TimePoint m_timeoutAt;
};

// Invariant: each runner of the chain counts one stream and the outstanding
// step until they are released, on every way out.
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

  // At most one step is outstanding.
  void StartStep(const OutstandingStep& aStep);
  const std::optional<OutstandingStep>& Step() const { return m_step; }
  // Ends the outstanding step with a good answer.
  void FinishStep(TimePoint aNow);

private:
  Chain m_chain;
  std::optional<OutstandingStep> m_step;
};

} // namespace parsleycove
