// Decides which requests start now, wait, or are refused at once.
#include "Routing/AdmissionController.h"

#include <algorithm>

#include "Routing/AdmissionQueue.h"

namespace parsleycove {

AdmissionController::AdmissionController() = default;
AdmissionController::~AdmissionController() = default;

AdmissionQueue&
AdmissionController::FindOrAddQueue(const std::string& aResource)
{
  auto& queue = m_queues[aResource];
  if (!queue) {
    queue = std::make_unique<AdmissionQueue>();
  }
  return *queue;
}

const AdmissionQueue*
AdmissionController::FindQueue(std::string_view aResource) const
{
  const auto found = m_queues.find(aResource);
  return found == m_queues.end() ? nullptr : found->second.get();
}

void
AdmissionController::SetCapacity(TimePoint aNow,
                                 std::string_view aResource,
                                 double aCostPerSecond)
{
  FindOrAddQueue(std::string(aResource)).SetCapacity(aNow, aCostPerSecond);
}

AdmissionDecision
AdmissionController::Submit(TimePoint aNow, const AdmissionRequest& aRequest)
{
  AdmissionQueue& queue = FindOrAddQueue(aRequest.m_resource);
  const AdmissionDecision decision = queue.Submit(aNow, aRequest);
  if (decision.m_status != AdmissionStatus::Refused) {
    m_queueByRequest[aRequest.m_id] = &queue;
  }
  return decision;
}

AdmissionBatch
AdmissionController::TakeReady(TimePoint aNow)
{
  AdmissionBatch batch;
  for (const auto& [name, queue] : m_queues) {
    queue->TakeReady(aNow, batch);
  }
  for (const RefusedRequest& refused : batch.m_refused) {
    m_queueByRequest.erase(refused.m_id);
  }
  return batch;
}

void
AdmissionController::Finish(TimePoint aNow,
                            std::uint64_t aId,
                            const AdmissionOutcome& aOutcome)
{
  const auto found = m_queueByRequest.find(aId);
  if (found == m_queueByRequest.end()) {
    return;
  }
  found->second->Finish(aNow, aId, aOutcome);
  m_queueByRequest.erase(found);
}

void
AdmissionController::Withdraw(TimePoint /*aNow*/, std::uint64_t aId)
{
  const auto found = m_queueByRequest.find(aId);
  if (found == m_queueByRequest.end()) {
    return;
  }
  found->second->Withdraw(aId);
  m_queueByRequest.erase(found);
}

TimePoint
AdmissionController::NextDeadline() const
{
  TimePoint next = TimePoint::max();
  for (const auto& [name, queue] : m_queues) {
    next = std::min(next, queue->NextDeadline());
  }
  return next;
}

std::size_t
AdmissionController::Waiting() const
{
  std::size_t waiting = 0;
  for (const auto& [name, queue] : m_queues) {
    waiting += queue->Waiting();
  }
  return waiting;
}

double
AdmissionController::Outstanding(std::string_view aResource) const
{
  const AdmissionQueue* queue = FindQueue(aResource);
  return queue ? queue->Outstanding() : 0;
}

double
AdmissionController::Limit(std::string_view aResource) const
{
  const AdmissionQueue* queue = FindQueue(aResource);
  return queue ? queue->Limit() : 0;
}

} // namespace parsleycove
