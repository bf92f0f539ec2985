// Decides which requests start now, which wait and which are refused at once.
// Under overload this keeps the number of answers in time near the capacity and
// stops one client account from starving the others.
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
  // The request would not be answered before its deadline.
  WouldMissDeadline,
  // The account's waiting requests already use up its fair share of the
  // capacity until the deadline.
  AccountShareExceeded,
  // No runner serves the model or service at present.
  NoCapacity,
};

struct AdmissionRequest
{
  std::uint64_t m_id = 0;
  std::string m_account;
  // Name of a model or service; requests for the same resource share its
  // capacity.
  std::string m_resource;
  ClassTargets m_targets;
  // Work in tokens; 1 for a call to a plain service.
  double m_cost = 1;
  TimePoint m_deadline;
};

struct AdmissionDecision
{
  AdmissionStatus m_status = AdmissionStatus::Admitted;
  AdmissionRefusal m_refusal = AdmissionRefusal::None;
  // For a refused request: the time after which a retry may be admitted.
  Duration m_retryAfter{};
};

struct RefusedRequest
{
  std::uint64_t m_id = 0;
  AdmissionRefusal m_refusal = AdmissionRefusal::None;
  Duration m_retryAfter{};
};

// Requests that left the queue, either started or refused.
struct AdmissionBatch
{
  std::vector<std::uint64_t> m_start;
  std::vector<RefusedRequest> m_refused;
};

struct AdmissionOutcome
{
  bool m_inTime = true;
  // Number of tokens that were produced.
  double m_tokens = 0;
};

// Admission control of one thread.
//
// Among the accounts whose virtual time is near the lowest one, the request
// with the earliest deadline starts first; accounts further ahead wait. A
// refusal is given as soon as it is certain and is never revoked.
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
  // Removes the waiting requests that start or are refused now, and returns
  // them.
  AdmissionBatch TakeReady(TimePoint aNow);
  // Ends an admitted request and frees its cost. Unknown ids are ignored.
  void Finish(TimePoint aNow,
              std::uint64_t aId,
              const AdmissionOutcome& aOutcome);
  // Removes a request whose caller has disconnected, whether waiting or
  // admitted.
  void Withdraw(TimePoint aNow, std::uint64_t aId);
  // Returns the latest time at which TakeReady is due, or TimePoint::max() if
  // no request waits.
  TimePoint NextDeadline() const;

  std::size_t Waiting() const;
  // Cost admitted and not yet finished, and the present limit of that cost; for
  // metrics.
  double Outstanding(std::string_view aResource) const;
  double Limit(std::string_view aResource) const;

private:
  AdmissionQueue& FindOrAddQueue(const std::string& aResource);
  const AdmissionQueue* FindQueue(std::string_view aResource) const;

  std::map<std::string, std::unique_ptr<AdmissionQueue>, std::less<>> m_queues;
  std::unordered_map<std::uint64_t, AdmissionQueue*> m_queueByRequest;
};

} // namespace parsleycove
