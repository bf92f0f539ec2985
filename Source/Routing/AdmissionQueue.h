// The admission of requests to one resource.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "Routing/AccountQueue.h"
#include "Routing/AdmissionController.h"
#include "Routing/CapacityEstimate.h"

namespace parsleycove {

class AdmissionQueue
{
public:
  AdmissionQueue() = default;
  ~AdmissionQueue();
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;

  void SetCapacity(TimePoint aNow, double aCostPerSecond);
  AdmissionDecision Submit(TimePoint aNow, const AdmissionRequest& aRequest);
  // Appends to aBatch what leaves the queue now.
  void TakeReady(TimePoint aNow, AdmissionBatch& aBatch);
  void Finish(TimePoint aNow,
              std::uint64_t aId,
              const AdmissionOutcome& aOutcome);
  void Withdraw(std::uint64_t aId);
  TimePoint NextDeadline() const;

  std::size_t Waiting() const { return m_waiting.size(); }
  double Outstanding() const { return m_outstandingCost; }
  double Limit() const { return m_capacity.Limit(); }

private:
  struct StartedRequest
  {
    double m_cost = 0;
    TimePoint m_startedAt;
    Duration m_completion{};
    double m_allowedLateShare = 0;
  };
  // Waiting cost of one class.
  struct ClassBacklog
  {
    std::string m_name;
    Duration m_completion{};
    double m_allowedLateShare = 0;
    double m_waitingCost = 0;
  };

  std::size_t FindOrAddClass(TimePoint aNow, const AdmissionRequest& aRequest);
  AccountQueue& FindOrAddAccount(const std::string& aName);
  bool HasCapacityFor(double aCost) const;
  AdmissionDecision Refuse(AdmissionRefusal aRefusal,
                           Duration aRetryAfter) const;
  // Expected waiting time behind earlier deadlines and within a fair share.
  Duration ExpectedWait(const AccountQueue& aAccount,
                        double aCost,
                        Duration aBudget) const;
  // Time after which a start would most likely miss a target.
  Duration MaxWait(TimePoint aNow, const AdmissionRequest& aRequest) const;
  void Enqueue(TimePoint aNow,
               const AdmissionRequest& aRequest,
               AccountQueue& aAccount,
               std::size_t aClass);
  void Start(TimePoint aNow,
             std::uint64_t aId,
             AccountQueue& aAccount,
             double aCost,
             std::size_t aClass);
  // Returns the request to start next; something must wait.
  WaitingRequest& ChooseNext();
  void Unlink(WaitingRequest& aRequest);
  // Nothing serves the resource any more.
  void RefuseAll(AdmissionBatch& aBatch);
  void RefuseOverdue(TimePoint aNow, AdmissionBatch& aBatch);

  CapacityEstimate m_capacity;
  std::vector<ClassBacklog> m_classes;
  std::unordered_map<std::string, AccountQueue> m_accounts;
  std::unordered_map<std::uint64_t, WaitingRequest> m_requests;
  std::unordered_map<std::uint64_t, StartedRequest> m_started;
  // The accounts with waiting requests, least served first.
  AccountsByVirtualTime m_backloggedAccounts;
  RequestsByLatestStart m_waiting;
  double m_waitingCost = 0;
  double m_outstandingCost = 0;
  double m_largestCost = 0;
  // Virtual time of the least served account; an account that comes back
  // from idleness starts here, without credit for its absence.
  double m_systemVirtualTime = 0;
};

} // namespace parsleycove
