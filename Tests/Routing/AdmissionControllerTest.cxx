// Tests of admission: fairness, early refusals and goodput under overload.
#include "Routing/AdmissionController.h"

#include "Routing/QueueModel.h"
#include "Routing/TestCluster.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

ClassTargets
MakeTargets(const std::string& aName, Duration aCompletion)
{
  ClassTargets targets;
  targets.m_name = aName;
  targets.m_completion = aCompletion;
  return targets;
}

// 16 servers of 100 ms each serve 160 requests a second.
constexpr double kCapacity = 160;

QueueModelResult
RunAtLoad(double aLoad, bool aAdmission = true)
{
  QueueModelSettings settings;
  settings.m_admission = aAdmission;
  for (int i = 0; i < 4; ++i) {
    settings.m_arrivals.push_back(
      { "account" + std::to_string(i),
        aLoad * kCapacity / 4,
        MakeTargets("answers", std::chrono::milliseconds(800)) });
  }
  return RunQueueModel(settings);
}

} // namespace

TEST_GROUP(AdmissionController)
{
  AdmissionDecision Submit(std::uint64_t aId,
                           const std::string& aAccount,
                           Duration aTime = std::chrono::seconds(2),
                           double aCost = 10)
  {
    const ClassTargets targets = MakeTargets("answers", aTime);
    return m_controller.Submit(
      kTestStart, { aId, aAccount, "m", targets, aCost, kTestStart + aTime });
  }

  AdmissionController m_controller;
};

TEST(AdmissionController, GoodputStaysFlatAtTwiceAndFiveTimesTheCapacity)
{
  const std::size_t base = RunAtLoad(1).m_total.m_inTime;
  CHECK(base >= 0.85 * kCapacity * 20);
  for (const double load : { 2.0, 5.0 }) {
    const QueueModelResult result = RunAtLoad(load);
    CHECK(result.m_total.m_inTime >= 0.9 * static_cast<double>(base));
    CHECK(result.m_total.m_late <= 0.05 * result.m_total.m_inTime);
    // Without admission the model does fall; so it can show the difference.
    const QueueModelResult open = RunAtLoad(load, false);
    CHECK(open.m_total.m_inTime < 0.5 * static_cast<double>(base));
  }
}

TEST(AdmissionController, NoRefusalIsHeldBackAndEachSaysWhenToComeBack)
{
  for (const double load : { 1.0, 2.0, 5.0 }) {
    const QueueModelResult result = RunAtLoad(load);
    CHECK_EQUAL(0, result.m_unanswered);
    CHECK_EQUAL(0, result.m_refusedTooLate);
    CHECK_EQUAL(0, result.m_refusedWithoutRetryAfter);
    CHECK(result.m_longestRefusal < std::chrono::milliseconds(800));
    const AccountResult& total = result.m_total;
    CHECK_EQUAL(total.m_sent, total.m_inTime + total.m_late + total.m_refused);
  }
}

TEST(AdmissionController, OneAccountAtTenTimesItsShareDoesNotStarveTheOthers)
{
  QueueModelSettings settings;
  const auto targets = MakeTargets("answers", std::chrono::milliseconds(800));
  constexpr int kSmall = 9;
  constexpr double kShare = kCapacity / 10;
  settings.m_arrivals.push_back({ "large", 10 * kShare, targets });
  for (int i = 0; i < kSmall; ++i) {
    settings.m_arrivals.push_back(
      { "small" + std::to_string(i), 0.8 * kShare, targets });
  }
  const QueueModelResult result = RunQueueModel(settings);
  for (const auto& [name, account] : result.m_accounts) {
    if (name != "large") {
      CHECK_TEXT(account.m_inTime >= 0.95 * static_cast<double>(account.m_sent),
                 name.c_str());
    }
  }
  // What the small ones leave is the large one's.
  const AccountResult& large = result.m_accounts.at("large");
  CHECK(large.m_inTime >= 0.2 * static_cast<double>(large.m_sent));
  CHECK(result.m_total.m_inTime >= 0.85 * kCapacity * 20);
}

TEST(AdmissionController, UrgentWorkPassesPatientWork)
{
  QueueModelSettings settings;
  const auto urgent = MakeTargets("urgent", std::chrono::milliseconds(400));
  const auto patient = MakeTargets("patient", std::chrono::seconds(5));
  settings.m_arrivals.push_back({ "a", 0.3 * kCapacity, urgent });
  settings.m_arrivals.push_back({ "b", 1.5 * kCapacity, patient });
  const QueueModelResult result = RunQueueModel(settings);
  const AccountResult& account = result.m_accounts.at("a");
  CHECK(account.m_inTime >= 0.95 * static_cast<double>(account.m_sent));
}

TEST(AdmissionController, RefusesAtOnceWhatCannotBeInTime)
{
  m_controller.SetCapacity(kTestStart, "m", 100);
  // 50 outstanding at first; then the queue grows by 10 each, 100 a second, up
  // to 0.8 of the second that is left beside half the target for the service.
  std::uint64_t id = 0;
  AdmissionDecision decision;
  do {
    decision = Submit(++id, "a");
  } while (decision.m_status != AdmissionStatus::Refused);
  CHECK_EQUAL(5 + 8 + 1, id);
  CHECK(decision.m_retryAfter > Duration::zero());
  CHECK(decision.m_retryAfter < std::chrono::seconds(2));
  // Another account has its own share of the queue.
  CHECK(Submit(++id, "b").m_status == AdmissionStatus::Queued);
}

TEST(AdmissionController, WithoutCapacityNothingWaits)
{
  const AdmissionDecision unknown = Submit(1, "a");
  CHECK(unknown.m_status == AdmissionStatus::Refused);
  CHECK(unknown.m_refusal == AdmissionRefusal::NoCapacity);
  CHECK(unknown.m_retryAfter > Duration::zero());
}

TEST(AdmissionController, CapacityThatVanishesRefusesWhatWaits)
{
  m_controller.SetCapacity(kTestStart, "m", 100);
  for (std::uint64_t id = 1; id <= 8; ++id) {
    Submit(id, "a");
  }
  CHECK_EQUAL(3, m_controller.Waiting());
  m_controller.SetCapacity(kTestStart, "m", 0);
  const AdmissionBatch batch = m_controller.TakeReady(kTestStart);
  CHECK_EQUAL(0, batch.m_start.size());
  CHECK_EQUAL(3, batch.m_refused.size());
  CHECK(batch.m_refused[0].m_refusal == AdmissionRefusal::NoCapacity);
  CHECK_EQUAL(0, m_controller.Waiting());
}

TEST(AdmissionController, WithdrawnRequestsFreeTheirPlace)
{
  m_controller.SetCapacity(kTestStart, "m", 100);
  for (std::uint64_t id = 1; id <= 8; ++id) {
    Submit(id, "a");
  }
  m_controller.Withdraw(kTestStart, 7);
  CHECK_EQUAL(2, m_controller.Waiting());
  m_controller.Withdraw(kTestStart, 1);
  const AdmissionBatch batch = m_controller.TakeReady(kTestStart);
  CHECK_EQUAL(1, batch.m_start.size());
  DOUBLES_EQUAL(50.0, m_controller.Outstanding("m"), 1e-9);
}

TEST(AdmissionController, EarliestDeadlineFirstWithinAnAccount)
{
  m_controller.SetCapacity(kTestStart, "m", 100);
  for (std::uint64_t id = 1; id <= 5; ++id) {
    Submit(id, "a");
  }
  Submit(6, "a", std::chrono::seconds(4));
  Submit(7, "a", std::chrono::seconds(3));
  m_controller.Withdraw(kTestStart, 1);
  const AdmissionBatch batch = m_controller.TakeReady(kTestStart);
  CHECK_EQUAL(1, batch.m_start.size());
  CHECK_EQUAL(7, batch.m_start[0]);
}

TEST(AdmissionController, AbsenceEarnsNoCredit)
{
  m_controller.SetCapacity(kTestStart, "m", 100);
  std::uint64_t id = 0;
  for (int i = 0; i < 1000; ++i) {
    Submit(++id, "regular");
    m_controller.Finish(kTestStart, id, { true, 10 });
  }
  for (std::uint64_t other = 1; other <= 5; ++other) {
    Submit(10000 + other, "other");
  }
  for (int i = 0; i < 8; ++i) {
    Submit(20000 + i, "newcomer", std::chrono::seconds(2), 1);
    Submit(30000 + i, "regular", std::chrono::seconds(3), 1);
  }
  m_controller.Withdraw(kTestStart, 10001);
  std::size_t regular = 0;
  for (const std::uint64_t started :
       m_controller.TakeReady(kTestStart).m_start) {
    regular += started >= 30000 ? 1 : 0;
  }
  CHECK(regular >= 2);
}

TEST(AdmissionController, EarliestDeadlineFirstAmongEquallyServedAccounts)
{
  m_controller.SetCapacity(kTestStart, "m", 100);
  for (std::uint64_t id = 1; id <= 5; ++id) {
    Submit(id, "other");
  }
  Submit(6, "patient", std::chrono::seconds(4));
  Submit(7, "hasty", std::chrono::seconds(3));
  Submit(8, "calm", std::chrono::seconds(5));
  m_controller.Withdraw(kTestStart, 1);
  const AdmissionBatch batch = m_controller.TakeReady(kTestStart);
  CHECK_EQUAL(1, batch.m_start.size());
  CHECK_EQUAL(7, batch.m_start[0]);
}

TEST(AdmissionController, AnAccountMayUseWhatTheOthersLeave)
{
  m_controller.SetCapacity(kTestStart, "m", 100);
  for (std::uint64_t id = 1; id <= 5; ++id) {
    Submit(id, "a");
  }
  for (std::uint64_t id = 11; id <= 15; ++id) {
    Submit(id, "small" + std::to_string(id), std::chrono::seconds(2), 1);
  }
  // 80 may wait: 5 of the small accounts and 7 requests of 10.
  std::uint64_t id = 20;
  while (Submit(id, "a").m_status == AdmissionStatus::Queued) {
    ++id;
  }
  CHECK_EQUAL(20 + 7, id);
}
