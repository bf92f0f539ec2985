// Decides which requests start now, wait, or are refused at once.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Base/Clock.h"
#include "Routing/ClassTargets.h"

namespace parsleycove {

class AdmissionQueue;

enum class AdmissionStatus
{
  Admitted,
  Queued,
  Refused,
};

enum class AdmissionRefusal
{
  None,
  // It would not be answered before its deadline.
  WouldMissDeadline,
  // The account's own waiting requests use up its share until the deadline.
  AccountQueue,
  // Nothing serves the model or service at present.
  NoCapacity,
};

struct AdmissionRequest
{
  std::uint64_t m_id = 0;
  std::string m_account;
  // Model or service: requests of one resource share a capacity.
  std::string m_resource;
  ClassTargets m_targets;
  // Tokens of work; 1 for a plain call.
  double m_cost = 1;
  TimePoint m_deadline;
};

struct AdmissionDecision
{
  AdmissionStatus m_status = AdmissionStatus::Admitted;
  AdmissionRefusal m_refusal = AdmissionRefusal::None;
  // When the same request would have a chance, for a refused one.
  Duration m_retryAfter{};
};

struct RefusedRequest
{
  std::uint64_t m_id = 0;
  AdmissionRefusal m_refusal = AdmissionRefusal::None;
  Duration m_retryAfter{};
};

// Requests that left the queue.
struct AdmissionBatch
{
  std::vector<std::uint64_t> m_start;
  std::vector<RefusedRequest> m_refused;
};

struct AdmissionOutcome
{
  bool m_inTime = true;
  // Tokens that were really produced.
  double m_tokens = 0;
};

// One thread's share of the admission decisions.
//
// Earliest deadline first among the accounts that are near the least served
// one; an account far ahead of the others waits. A refusal is given as soon as
// it is certain and is never taken back.
class AdmissionController
{
public:
  AdmissionController();
  ~AdmissionController();
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  // Sets this thread's share of a resource's capacity, in cost per second.
  void SetCapacity(TimePoint aNow,
                   std::string_view aResource,
                   double aCostPerSecond);
  AdmissionDecision Submit(TimePoint aNow, const AdmissionRequest& aRequest);
  // Says which waiting requests start now and which are refused now.
  AdmissionBatch TakeReady(TimePoint aNow);
  // Ends an admitted request. Unknown ids are ignored.
  void Finish(TimePoint aNow,
              std::uint64_t aId,
              const AdmissionOutcome& aOutcome);
  // Takes back a request whose caller has gone, waiting or admitted.
  void Withdraw(TimePoint aNow, std::uint64_t aId);
  // When TakeReady is due at the latest; max when nothing waits.
  TimePoint NextDeadline() const;

  std::size_t Waiting() const;
  // Cost admitted and not finished, and its present limit, for metrics.
  double Outstanding(std::string_view aResource) const;
  double Limit(std::string_view aResource) const;

private:
  AdmissionQueue& FindOrAddQueue(const std::string& aResource);
  const AdmissionQueue* FindQueue(std::string_view aResource) const;

  std::map<std::string, std::unique_ptr<AdmissionQueue>, std::less<>> m_queues;
  std::unordered_map<std::uint64_t, AdmissionQueue*> m_queueByRequest;
};

} // namespace parsleycove
