// Tests of the action ledger's traps, one by one.
#include "State/ActionLedger.h"

#include "State/Commands.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;
using state::ActionState;
using state::ResultCode;

namespace {

constexpr std::uint64_t kNow = 1'700'000'000'000;

StateLimits
MakeSmallLimits()
{
  StateLimits limits;
  limits.m_maxActions = 2;
  limits.m_minRetentionMs = 100;
  limits.m_maxRetentionMs = 10'000;
  limits.m_maxKeyLeadMs = 50;
  limits.m_maxAnswerBytes = 8;
  return limits;
}

} // namespace

TEST_GROUP(ActionLedger)
{
  ActionLedger m_ledger{ MakeSmallLimits() };

  void CheckCode(ResultCode aExpected, const state::CommandResultT& aResult)
  {
    CHECK_EQUAL_TEXT(static_cast<int>(aExpected),
                     static_cast<int>(aResult.code),
                     aResult.text.c_str());
  }
  void RunToDone(const std::string& aKey, std::uint64_t aNow)
  {
    const auto reserved = m_ledger.Reserve(MakeReserve("A", 1, aKey), aNow);
    CheckCode(ResultCode::Ok, reserved);
    m_ledger.Dispatch(MakeDispatch(reserved.attempt, aKey), aNow);
    CheckCode(
      ResultCode::Ok,
      m_ledger.Complete(MakeComplete(reserved.attempt, "x", aKey), aNow));
  }
};

TEST(ActionLedger, FrozenHolderIsRefusedAfterTakeOver)
{
  CHECK_EQUAL(1, m_ledger.Reserve(MakeReserve("A", 1), kNow).attempt);
  const auto taken = m_ledger.Reserve(MakeReserve("B", 1), kNow);
  CHECK_TRUE(taken.owner);
  CHECK_EQUAL(2, taken.attempt);
  CheckCode(ResultCode::StaleAttempt, m_ledger.Dispatch(MakeDispatch(1), kNow));
  CheckCode(ResultCode::StaleAttempt,
            m_ledger.Abandon(MakeAbandon(1, true, false), kNow));
  CheckCode(ResultCode::Ok, m_ledger.Dispatch(MakeDispatch(2), kNow));
}

TEST(ActionLedger, ProposalsAreIdempotent)
{
  m_ledger.Reserve(MakeReserve("A", 1), kNow);
  const auto again = m_ledger.Reserve(MakeReserve("A", 1), kNow);
  CHECK_TRUE(again.owner);
  CHECK_EQUAL(1, again.attempt);
  CheckCode(ResultCode::Ok, m_ledger.Dispatch(MakeDispatch(1), kNow));
  const auto second = m_ledger.Dispatch(MakeDispatch(1), kNow);
  CheckCode(ResultCode::Ok, second);
  CHECK_TRUE(second.owner);
  CheckCode(ResultCode::Ok, m_ledger.Complete(MakeComplete(1, "x"), kNow));
  const auto done = m_ledger.Complete(MakeComplete(1, "y"), kNow);
  CheckCode(ResultCode::Duplicate, done);
  STRCMP_EQUAL("x", done.answer->body.c_str());
}

TEST(ActionLedger, AnEarlierProcessOfTheSameVmTakesNothingOver)
{
  m_ledger.Reserve(MakeReserve("A", 1), kNow);
  CHECK_EQUAL(2, m_ledger.Reserve(MakeReserve("A", 2), kNow).attempt);
  const auto late = m_ledger.Reserve(MakeReserve("A", 1), kNow);
  CHECK_FALSE(late.owner);
  CHECK_EQUAL(2, late.attempt);
}

TEST(ActionLedger, AnotherBodyIsRefused)
{
  m_ledger.Reserve(MakeReserve("A", 1), kNow);
  auto other = MakeReserve("A", 1);
  other.fingerprint += "x";
  CheckCode(ResultCode::KeyReused, m_ledger.Reserve(other, kNow));
}

TEST(ActionLedger, ResendWhileDispatchedNeverOwnsNorSaysNotRun)
{
  m_ledger.Reserve(MakeReserve("A", 1), kNow);
  m_ledger.Dispatch(MakeDispatch(1), kNow);
  const auto resent = m_ledger.Reserve(MakeReserve("B", 1), kNow);
  CHECK_FALSE(resent.owner);
  CHECK_TRUE(ActionState::Dispatched == resent.action_state);
  STRCMP_EQUAL("A", resent.action_gateway.c_str());
  CheckCode(ResultCode::Invalid,
            m_ledger.Abandon(MakeAbandon(1, false, false), kNow));
}

TEST(ActionLedger, NotSentIsTakenAlsoAfterTheGatewayWasGivenUp)
{
  m_ledger.Reserve(MakeReserve("A", 1), kNow);
  m_ledger.Dispatch(MakeDispatch(1), kNow);
  m_ledger.LoseGateway(MakeGone("A", 1), kNow);
  CHECK_TRUE(ActionState::InDoubt == m_ledger.Find("acme", "k")->state);
  CheckCode(ResultCode::StaleAttempt, m_ledger.Dispatch(MakeDispatch(1), kNow));
  CheckCode(ResultCode::Ok,
            m_ledger.Abandon(MakeAbandon(1, true, false), kNow));
  CHECK_TRUE(ActionState::NotRun == m_ledger.Find("acme", "k")->state);
  CheckCode(ResultCode::StaleAttempt,
            m_ledger.Complete(MakeComplete(1, "x"), kNow));
}

TEST(ActionLedger, GatewayGoneSparesLaterProcesses)
{
  m_ledger.Reserve(MakeReserve("A", 2), kNow);
  m_ledger.LoseGateway(MakeGone("A", 1), kNow);
  CHECK_TRUE(ActionState::Reserved == m_ledger.Find("acme", "k")->state);
  m_ledger.LoseGateway(MakeGone("A", 2), kNow);
  CHECK_TRUE(ActionState::NotRun == m_ledger.Find("acme", "k")->state);
  CheckCode(ResultCode::StaleAttempt, m_ledger.Dispatch(MakeDispatch(1), kNow));
}

TEST(ActionLedger, RacingOperatorsResolveOnce)
{
  m_ledger.Reserve(MakeReserve("A", 1), kNow);
  m_ledger.Dispatch(MakeDispatch(1), kNow);
  CheckCode(ResultCode::StaleAttempt,
            m_ledger.Resolve(MakeResolve(false, "olga"), kNow));
  m_ledger.Doubt(MakeDoubt(1), kNow);
  CheckCode(ResultCode::Invalid, m_ledger.Resolve(MakeResolve(true, ""), kNow));
  CheckCode(ResultCode::Ok, m_ledger.Resolve(MakeResolve(true, "olga"), kNow));
  CheckCode(ResultCode::StaleAttempt,
            m_ledger.Resolve(MakeResolve(false, "omar"), kNow));
  const auto* record = m_ledger.Find("acme", "k");
  STRCMP_EQUAL("by olga", record->answer->body.c_str());
  STRCMP_EQUAL("resolved by operator olga", record->reason.c_str());
}

TEST(ActionLedger, NotRunIsFinalForItsKey)
{
  m_ledger.Reserve(MakeReserve("A", 1), kNow);
  m_ledger.Abandon(MakeAbandon(1, true, false), kNow);
  const auto resent = m_ledger.Reserve(MakeReserve("B", 1), kNow);
  CHECK_FALSE(resent.owner);
  CHECK_TRUE(ActionState::NotRun == resent.action_state);
  CheckCode(ResultCode::StaleAttempt, m_ledger.Dispatch(MakeDispatch(1), kNow));
  CheckCode(ResultCode::StaleAttempt, m_ledger.Dispatch(MakeDispatch(2), kNow));
}

TEST(ActionLedger, AResolutionOfATakenOverAttemptIsRefused)
{
  m_ledger.Reserve(MakeReserve("A", 1), kNow);
  m_ledger.Reserve(MakeReserve("B", 1), kNow);
  m_ledger.Dispatch(MakeDispatch(2), kNow);
  m_ledger.Doubt(MakeDoubt(2), kNow);
  CheckCode(ResultCode::StaleAttempt,
            m_ledger.Resolve(MakeResolve(false, "olga", 1), kNow));
  CHECK_TRUE(ActionState::InDoubt == m_ledger.Find("acme", "k")->state);
}

TEST(ActionLedger, ALateAnswerOfAnEarlierAttemptIsRefused)
{
  m_ledger.Reserve(MakeReserve("A", 1), kNow);
  m_ledger.Dispatch(MakeDispatch(1), kNow);
  m_ledger.Doubt(MakeDoubt(1), kNow);
  m_ledger.Resolve(MakeResolve(false, "olga", 1), kNow);
  m_ledger.Reserve(MakeReserve("B", 1), kNow);
  m_ledger.Dispatch(MakeDispatch(2), kNow);
  CheckCode(ResultCode::StaleAttempt,
            m_ledger.Complete(MakeComplete(1, "x"), kNow));
  CHECK_TRUE(ActionState::Dispatched == m_ledger.Find("acme", "k")->state);
}

TEST(ActionLedger, ADoneActionStaysDone)
{
  RunToDone("k", kNow);
  CheckCode(ResultCode::StaleAttempt,
            m_ledger.Abandon(MakeAbandon(1, true, true), kNow));
  CheckCode(ResultCode::StaleAttempt, m_ledger.Doubt(MakeDoubt(1), kNow));
  CheckCode(ResultCode::StaleAttempt, m_ledger.Dispatch(MakeDispatch(1), kNow));
  m_ledger.LoseGateway(MakeGone("A", 1), kNow);
  CHECK_TRUE(ActionState::Done == m_ledger.Find("acme", "k")->state);
}

TEST(ActionLedger, FullOfKeptEntriesRefusesAndLaterEvictsFinishedOnes)
{
  RunToDone("one", kNow);
  m_ledger.Reserve(MakeReserve("A", 1, "two"), kNow);
  CheckCode(ResultCode::LedgerFull,
            m_ledger.Reserve(MakeReserve("A", 1, "three"), kNow + 99));
  CheckCode(ResultCode::Ok,
            m_ledger.Reserve(MakeReserve("A", 1, "three"), kNow + 100));
  CHECK_TRUE(m_ledger.Find("acme", "one") == nullptr);
  CheckCode(ResultCode::LedgerFull,
            m_ledger.Reserve(MakeReserve("A", 1, "four"), kNow + 20'000));
  CHECK_TRUE(m_ledger.Find("acme", "two") != nullptr);
}

TEST(ActionLedger, TheByteBoundCountsAnswers)
{
  StateLimits limits = MakeSmallLimits();
  limits.m_maxActions = 100;
  limits.m_maxActionBytes = 1200;
  ActionLedger ledger(limits);
  ledger.Reserve(MakeReserve("A", 1, "one"), kNow);
  ledger.Dispatch(MakeDispatch(1, "one"), kNow);
  ledger.Complete(MakeComplete(1, "x", "one"), kNow);
  CheckCode(ResultCode::Ok, ledger.Reserve(MakeReserve("A", 1, "two"), kNow));
  CheckCode(ResultCode::LedgerFull,
            ledger.Reserve(MakeReserve("A", 1, "three"), kNow));
  CheckCode(ResultCode::Ok,
            ledger.Reserve(MakeReserve("A", 1, "three"), kNow + 100));
}

TEST(ActionLedger, ATimedKeyIsNeverRunAgainAfterItsEviction)
{
  const std::string first = MakeTimedKey(kNow, 1);
  RunToDone(first, kNow);
  m_ledger.Reserve(MakeReserve("A", 1, "two"), kNow);
  m_ledger.Reserve(MakeReserve("A", 1, "three"), kNow + 100);
  CHECK_TRUE(m_ledger.Find("acme", first) == nullptr);
  CheckCode(ResultCode::KeyExpired,
            m_ledger.Reserve(MakeReserve("B", 1, first), kNow + 101));
}

TEST(ActionLedger, TimedKeysOutsideTheRetentionAreRefused)
{
  CheckCode(ResultCode::KeyExpired,
            m_ledger.Reserve(MakeReserve("A", 1, MakeTimedKey(kNow, 1)),
                             kNow + 10'001));
  CheckCode(
    ResultCode::Invalid,
    m_ledger.Reserve(MakeReserve("A", 1, MakeTimedKey(kNow + 51, 1)), kNow));
  CheckCode(
    ResultCode::Ok,
    m_ledger.Reserve(MakeReserve("A", 1, MakeTimedKey(kNow + 50, 1)), kNow));
}

TEST(ActionLedger, AnEvictedKeysAttemptsAreNotUsedAgain)
{
  // A is frozen with attempt 1; B takes over, is done, and the key is evicted.
  m_ledger.Reserve(MakeReserve("A", 1), kNow);
  m_ledger.Reserve(MakeReserve("B", 1), kNow);
  m_ledger.Dispatch(MakeDispatch(2), kNow);
  m_ledger.Complete(MakeComplete(2, "x"), kNow);
  m_ledger.Reserve(MakeReserve("B", 1, "two"), kNow);
  m_ledger.Reserve(MakeReserve("B", 1, "three"), kNow + 100);
  m_ledger.Abandon(MakeAbandon(1, false, false, "two"), kNow + 100);
  CheckCode(ResultCode::Ok, m_ledger.Reserve(MakeReserve("B", 1), kNow + 200));
  CheckCode(ResultCode::StaleAttempt,
            m_ledger.Dispatch(MakeDispatch(1), kNow + 200));
}

TEST(ActionLedger, AnAnswerBeyondTheBoundIsDoneWithoutBody)
{
  m_ledger.Reserve(MakeReserve("A", 1), kNow);
  m_ledger.Dispatch(MakeDispatch(1), kNow);
  CheckCode(ResultCode::Ok,
            m_ledger.Complete(MakeComplete(1, "123456789"), kNow));
  const auto* record = m_ledger.Find("acme", "k");
  CHECK_TRUE(ActionState::Done == record->state);
  CHECK_EQUAL(200, record->answer->status);
  STRCMP_EQUAL("", record->answer->body.c_str());
  CHECK_FALSE(record->reason.empty());
}
