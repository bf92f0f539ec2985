// Admission queue of one resource: fair queueing among client accounts,
// earliest deadline first among accounts that were served about equally, and
// early refusal of requests that cannot meet their deadline.
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
  // Appends to aBatch the requests that start or are refused now.
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
  // Total cost of the waiting requests of one class of work.
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
  // Returns the expected wait of a new request of cost aCost that is due within
  // aBudget: the time to serve all cost that is due earlier, or the account's
  // fair share if that is shorter.
  Duration ExpectedWait(const AccountQueue& aAccount,
                        double aCost,
                        Duration aBudget) const;
  // Returns the longest wait after which a start is still likely to meet the
  // request's targets.
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
  // Returns the request to start next. At least one request must wait.
  WaitingRequest& ChooseNext();
  void Unlink(WaitingRequest& aRequest);
  // Refuses all waiting requests because no runner serves the resource any
  // more.
  void RefuseAll(AdmissionBatch& aBatch);
  void RefuseOverdue(TimePoint aNow, AdmissionBatch& aBatch);

  CapacityEstimate m_capacity;
  std::vector<ClassBacklog> m_classes;
  std::unordered_map<std::string, AccountQueue> m_accounts;
  std::unordered_map<std::uint64_t, WaitingRequest> m_requests;
  std::unordered_map<std::uint64_t, StartedRequest> m_started;
  // Accounts with waiting requests; the one with the lowest virtual time comes
  // first.
  AccountsByVirtualTime m_backloggedAccounts;
  RequestsByLatestStart m_waiting;
  double m_waitingCost = 0;
  double m_outstandingCost = 0;
  double m_largestCost = 0;
  // Virtual time of the account that was served least. An account that returns
  // from idleness starts at this virtual time, so idle time earns no credit.
  double m_systemVirtualTime = 0;
};

} // namespace parsleycove
