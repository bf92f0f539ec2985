// Decides which requests start now, wait, or are refused at once.
#include "Routing/AdmissionController.h"

#include <algorithm>

#include "Routing/AdmissionQueue.h"

namespace parsleycove {

AdmissionController::AdmissionController() = default;
AdmissionController::~AdmissionController() = default;

AdmissionQueue&
AdmissionController::QueueOf(const std::string& aResource)
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
  QueueOf(std::string(aResource)).SetCapacity(aNow, aCostPerSecond);
}

AdmissionAnswer
AdmissionController::Submit(TimePoint aNow, const AdmissionRequest& aRequest)
{
  AdmissionQueue& queue = QueueOf(aRequest.m_resource);
  const AdmissionAnswer answer = queue.Submit(aNow, aRequest);
  if (answer.m_verdict != AdmissionVerdict::Refused) {
    m_owners[aRequest.m_id] = &queue;
  }
  return answer;
}

AdmissionBatch
AdmissionController::TakeReady(TimePoint aNow)
{
  AdmissionBatch batch;
  for (const auto& [name, queue] : m_queues) {
    queue->TakeReady(aNow, batch);
  }
  for (const AdmissionRefused& refused : batch.m_refused) {
    m_owners.erase(refused.m_id);
  }
  return batch;
}

void
AdmissionController::Finish(TimePoint aNow,
                            std::uint64_t aId,
                            const AdmissionOutcome& aOutcome)
{
  const auto found = m_owners.find(aId);
  if (found == m_owners.end()) {
    return;
  }
  found->second->Finish(aNow, aId, aOutcome);
  m_owners.erase(found);
}

void
AdmissionController::Withdraw(TimePoint /*aNow*/, std::uint64_t aId)
{
  const auto found = m_owners.find(aId);
  if (found == m_owners.end()) {
    return;
  }
  found->second->Withdraw(aId);
  m_owners.erase(found);
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
