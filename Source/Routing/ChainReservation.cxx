// A chain in use by one generation, counted in the load of its runners.
#include "Routing/ChainReservation.h"

#include <utility>

namespace parsleycove {

const RunnerPtr&
ChainReservation::RunnerAt(std::size_t aStage) const
{
  return m_chain.m_stages[aStage].m_runner;
}

void
ChainReservation::Reserve(Chain aChain)
{
  Release();
  m_chain = std::move(aChain);
  for (const ChainStage& stage : m_chain.m_stages) {
    stage.m_runner->m_load->AddStream();
  }
}

void
ChainReservation::Release()
{
  if (m_step) {
    RunnerAt(m_step->m_stage)->m_load->AbandonStep(m_step->m_count);
    m_step.reset();
  }
  for (const ChainStage& stage : m_chain.m_stages) {
    stage.m_runner->m_load->RemoveStream();
  }
  m_chain = {};
}

void
ChainReservation::StartStep(const OutstandingStep& aStep)
{
  m_step = aStep;
  RunnerLoad& load = *RunnerAt(aStep.m_stage)->m_load;
  load.RecordSend(aStep.m_sentAt);
  load.StartStep(aStep.m_count);
}

void
ChainReservation::FinishStep(TimePoint aNow)
{
  const OutstandingStep step = *m_step;
  m_step.reset();
  const ChainStage& stage = m_chain.m_stages[step.m_stage];
  stage.m_runner->m_load->FinishStep(
    aNow, step.m_count, aNow - step.m_sentAt, stage.m_expectedStep);
}

} // namespace parsleycove
