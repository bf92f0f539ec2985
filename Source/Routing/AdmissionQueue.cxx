// The admission of requests to one resource.
#include "Routing/AdmissionQueue.h"

#include <algorithm>

namespace parsleycove {

namespace {

// Share of the time before the latest start that may be planned as waiting.
constexpr double kMaxPlannedWaitShare = 0.8;
// Share of the time to the first token that may be spent waiting.
constexpr double kMaxFirstTokenWaitShare = 0.7;
// Accounts this many requests ahead of the least served still compete.
constexpr double kMaxLeadRequests = 2.0;
constexpr std::size_t kMaxCandidateAccounts = 32;
constexpr Duration kNoCapacityRetry = std::chrono::seconds(1);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);

double
ToSeconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1e9;
}

Duration
FromSeconds(double aSeconds)
{
  constexpr double kMaxSeconds = 3600;
  const double bounded = std::min(aSeconds, kMaxSeconds);
  return Duration(static_cast<std::int64_t>(bounded * 1e9));
}

} // namespace

AdmissionQueue::~AdmissionQueue()
{
  m_waiting.clear();
  for (auto& [name, account] : m_accounts) {
    account.m_waiting.clear();
  }
  m_backloggedAccounts.clear();
}

void
AdmissionQueue::SetCapacity(TimePoint aNow, double aCostPerSecond)
{
  m_capacity.Configure(aNow, aCostPerSecond);
}

std::size_t
AdmissionQueue::FindOrAddClass(TimePoint aNow, const AdmissionRequest& aRequest)
{
  const ClassTargets& targets = aRequest.m_targets;
  // A class without a target of its own is bound by its requests' deadlines.
  const Duration completion = targets.m_completion > Duration::zero()
                                ? targets.m_completion
                                : aRequest.m_deadline - aNow;
  const double allowedLate = 1.0 - targets.m_successPerMille / 1000.0;
  for (std::size_t i = 0; i < m_classes.size(); ++i) {
    if (m_classes[i].m_name == targets.m_name) {
      m_classes[i].m_completion = completion;
      m_classes[i].m_allowedLateShare = allowedLate;
      return i;
    }
  }
  m_classes.push_back({ targets.m_name, completion, allowedLate, 0 });
  return m_classes.size() - 1;
}

AccountQueue&
AdmissionQueue::FindOrAddAccount(const std::string& aName)
{
  AccountQueue& account = m_accounts[aName];
  if (account.m_waiting.empty()) {
    account.m_virtualTime =
      std::max(account.m_virtualTime, m_systemVirtualTime);
  }
  return account;
}

bool
AdmissionQueue::HasCapacityFor(double aCost) const
{
  return m_outstandingCost == 0 ||
         m_outstandingCost + aCost <= m_capacity.Limit();
}

AdmissionDecision
AdmissionQueue::Refuse(AdmissionRefusal aRefusal, Duration aRetryAfter) const
{
  return { AdmissionStatus::Refused,
           aRefusal,
           std::max(aRetryAfter, kMinRetryAfter) };
}

Duration
AdmissionQueue::ExpectedWait(const AccountQueue& aAccount,
                             double aCost,
                             Duration aBudget) const
{
  // Of a longer class only the part that is due before this request.
  double ahead = 0;
  for (const ClassBacklog& queue : m_classes) {
    const double share = queue.m_completion > aBudget
                           ? ToSeconds(aBudget) / ToSeconds(queue.m_completion)
                           : 1.0;
    ahead += queue.m_waitingCost * share;
  }
  // With fair shares, no other account is served more than this one before.
  const double accounts = static_cast<double>(m_backloggedAccounts.size()) +
                          (aAccount.is_linked() ? 0.0 : 1.0);
  const double fair = (aAccount.m_waitingCost + aCost) * accounts;
  return FromSeconds(std::min(ahead + aCost, fair) / m_capacity.Rate());
}

Duration
AdmissionQueue::MaxWait(TimePoint aNow, const AdmissionRequest& aRequest) const
{
  const Duration slack =
    aRequest.m_deadline - aNow - m_capacity.ServiceTime(aRequest.m_cost);
  const Duration firstToken = aRequest.m_targets.m_firstToken;
  if (firstToken == Duration::zero()) {
    return slack;
  }
  return std::min(slack,
                  FromSeconds(ToSeconds(firstToken) * kMaxFirstTokenWaitShare));
}

AdmissionDecision
AdmissionQueue::Submit(TimePoint aNow, const AdmissionRequest& aRequest)
{
  if (!m_capacity.IsConfigured()) {
    return Refuse(AdmissionRefusal::NoCapacity, kNoCapacityRetry);
  }
  AccountQueue& account = FindOrAddAccount(aRequest.m_account);
  const Duration budget = aRequest.m_deadline - aNow;
  if (budget <= Duration::zero()) {
    return Refuse(AdmissionRefusal::WouldMissDeadline, kMinRetryAfter);
  }
  const std::size_t classIndex = FindOrAddClass(aNow, aRequest);
  m_capacity.UpdateTightestTarget(m_classes[classIndex].m_completion);
  m_largestCost = std::max(m_largestCost, aRequest.m_cost);
  if (m_waiting.empty() && HasCapacityFor(aRequest.m_cost)) {
    // Without contention nobody earns credit by staying away.
    m_systemVirtualTime = std::max(m_systemVirtualTime, account.m_virtualTime);
    Start(aNow, aRequest.m_id, account, aRequest.m_cost, classIndex);
    return { AdmissionStatus::Admitted, AdmissionRefusal::None, {} };
  }
  m_capacity.MarkSaturated();
  const Duration wait = ExpectedWait(account, aRequest.m_cost, budget);
  const Duration longest = MaxWait(aNow, aRequest);
  const Duration planned =
    FromSeconds(ToSeconds(longest) * kMaxPlannedWaitShare);
  if (wait > planned) {
    const bool ownBacklog =
      account.m_waitingCost * static_cast<double>(m_backloggedAccounts.size()) >
      m_waitingCost;
    return Refuse(ownBacklog ? AdmissionRefusal::AccountQueue
                             : AdmissionRefusal::WouldMissDeadline,
                  wait - std::max(planned, Duration::zero()));
  }
  Enqueue(aNow, aRequest, account, classIndex);
  return { AdmissionStatus::Queued, AdmissionRefusal::None, {} };
}

void
AdmissionQueue::Enqueue(TimePoint aNow,
                        const AdmissionRequest& aRequest,
                        AccountQueue& aAccount,
                        std::size_t aClass)
{
  WaitingRequest& request = m_requests[aRequest.m_id];
  request.m_id = aRequest.m_id;
  request.m_account = &aAccount;
  request.m_class = aClass;
  request.m_cost = aRequest.m_cost;
  request.m_deadline = aRequest.m_deadline;
  request.m_latestStart = aNow + MaxWait(aNow, aRequest);
  if (aAccount.m_waiting.empty()) {
    m_backloggedAccounts.insert(aAccount);
  }
  aAccount.m_waiting.insert(request);
  aAccount.m_waitingCost += request.m_cost;
  m_waiting.insert(request);
  m_waitingCost += request.m_cost;
  m_classes[aClass].m_waitingCost += request.m_cost;
}

void
AdmissionQueue::Start(TimePoint aNow,
                      std::uint64_t aId,
                      AccountQueue& aAccount,
                      double aCost,
                      std::size_t aClass)
{
  aAccount.m_virtualTime += aCost;
  m_outstandingCost += aCost;
  const ClassBacklog& queue = m_classes[aClass];
  m_started[aId] = {
    aCost, aNow, queue.m_completion, queue.m_allowedLateShare
  };
}

void
AdmissionQueue::Unlink(WaitingRequest& aRequest)
{
  AccountQueue& account = *aRequest.m_account;
  account.m_waiting.erase(account.m_waiting.iterator_to(aRequest));
  account.m_waitingCost -= aRequest.m_cost;
  m_waiting.erase(m_waiting.iterator_to(aRequest));
  m_waitingCost -= aRequest.m_cost;
  m_classes[aRequest.m_class].m_waitingCost -= aRequest.m_cost;
  if (account.m_waiting.empty()) {
    m_backloggedAccounts.erase(m_backloggedAccounts.iterator_to(account));
    account.m_waitingCost = 0;
  }
  if (m_waiting.empty()) {
    m_waitingCost = 0;
  }
}

void
AdmissionQueue::RefuseOverdue(TimePoint aNow, AdmissionBatch& aBatch)
{
  while (!m_waiting.empty() && m_waiting.begin()->m_latestStart < aNow) {
    WaitingRequest& request = *m_waiting.begin();
    const Duration drain = FromSeconds(m_waitingCost / m_capacity.Rate());
    Unlink(request);
    aBatch.m_refused.push_back({ request.m_id,
                                 AdmissionRefusal::WouldMissDeadline,
                                 std::max(drain, kMinRetryAfter) });
    m_requests.erase(request.m_id);
  }
}

void
AdmissionQueue::RefuseAll(AdmissionBatch& aBatch)
{
  while (!m_waiting.empty()) {
    WaitingRequest& request = *m_waiting.begin();
    Unlink(request);
    aBatch.m_refused.push_back(
      { request.m_id, AdmissionRefusal::NoCapacity, kNoCapacityRetry });
    m_requests.erase(request.m_id);
  }
}

WaitingRequest&
AdmissionQueue::ChooseNext()
{
  m_systemVirtualTime =
    std::max(m_systemVirtualTime, m_backloggedAccounts.begin()->m_virtualTime);
  const double limit = m_backloggedAccounts.begin()->m_virtualTime +
                       kMaxLeadRequests * m_largestCost;
  WaitingRequest* best = nullptr;
  std::size_t seen = 0;
  for (AccountQueue& account : m_backloggedAccounts) {
    if (account.m_virtualTime > limit || seen == kMaxCandidateAccounts) {
      break;
    }
    WaitingRequest& first = *account.m_waiting.begin();
    if (!best || first.m_deadline < best->m_deadline) {
      best = &first;
    }
    ++seen;
  }
  return *best;
}

void
AdmissionQueue::TakeReady(TimePoint aNow, AdmissionBatch& aBatch)
{
  if (!m_capacity.IsConfigured()) {
    RefuseAll(aBatch);
    return;
  }
  RefuseOverdue(aNow, aBatch);
  while (!m_waiting.empty()) {
    WaitingRequest& request = ChooseNext();
    if (!HasCapacityFor(request.m_cost)) {
      m_capacity.MarkSaturated();
      return;
    }
    AccountQueue& account = *request.m_account;
    Unlink(request);
    if (account.is_linked()) {
      m_backloggedAccounts.erase(m_backloggedAccounts.iterator_to(account));
    }
    Start(aNow, request.m_id, account, request.m_cost, request.m_class);
    if (!account.m_waiting.empty()) {
      m_backloggedAccounts.insert(account);
    }
    aBatch.m_start.push_back(request.m_id);
    m_requests.erase(request.m_id);
  }
}

void
AdmissionQueue::Finish(TimePoint aNow,
                       std::uint64_t aId,
                       const AdmissionOutcome& aOutcome)
{
  const auto found = m_started.find(aId);
  if (found == m_started.end()) {
    return;
  }
  const StartedRequest started = found->second;
  m_started.erase(found);
  m_outstandingCost -= started.m_cost;
  if (m_started.empty()) {
    m_outstandingCost = 0;
  }
  m_capacity.RecordFinished(aNow,
                            { started.m_cost,
                              aNow - started.m_startedAt,
                              started.m_completion,
                              aOutcome.m_inTime,
                              started.m_allowedLateShare });
}

void
AdmissionQueue::Withdraw(std::uint64_t aId)
{
  if (const auto found = m_requests.find(aId); found != m_requests.end()) {
    Unlink(found->second);
    m_requests.erase(found);
    return;
  }
  if (const auto found = m_started.find(aId); found != m_started.end()) {
    m_outstandingCost -= found->second.m_cost;
    m_started.erase(found);
  }
}

TimePoint
AdmissionQueue::NextDeadline() const
{
  return m_waiting.empty() ? TimePoint::max()
                           : m_waiting.begin()->m_latestStart + Duration(1);
}

} // namespace parsleycove
