// Tests of the state machine as a whole: answers, images, equal replicas.
#include "State/ReplicatedState.h"

#include <random>

#include "State/CommandCodec.h"
#include "State/CommandTime.h"
#include "State/Commands.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;
using state::ResultCode;

namespace {

constexpr std::uint64_t kTerm = 3;

StateLimits
MakeTightLimits()
{
  StateLimits limits;
  limits.m_maxActions = 20;
  limits.m_minRetentionMs = 50;
  limits.m_maxRetentionMs = 200;
  limits.m_maxChangeRecords = 20;
  return limits;
}

// Commands on few names, so that they collide often.
state::CommandT
MakeRandomCommand(std::mt19937_64& aRandom,
                  std::uint64_t aRevision,
                  std::uint64_t aIndex)
{
  auto pick = [&](std::uint64_t aCount) { return aRandom() % aCount; };
  const std::uint64_t now = 1000 + aIndex * 5 + pick(40);
  const std::string key = pick(2) == 0 ? "k" + std::to_string(pick(30))
                                       : MakeTimedKey(now / 100 * 100, pick(3));
  const std::string vm = "gateway-" + std::to_string(pick(3));
  const std::string endpoint = "engine-" + std::to_string(pick(4));
  const std::uint64_t attempt = 1 + pick(3);
  switch (pick(12)) {
    case 0:
      return MakeClassChange("change-" + std::to_string(pick(200)),
                             aRevision - (aRevision > 0 ? pick(2) : 0),
                             "class-" + std::to_string(pick(5)),
                             100 + pick(3));
    case 1:
      return MakeAnnounce(MakeEngine(endpoint, 1 + pick(4)));
    case 2:
      return MakeLeave(endpoint, 1 + pick(4));
    case 3:
      return MakeDrop(endpoint, 1 + pick(4));
    case 4: {
      state::EngineOrderT order = MakeOrder(
        "order-" + std::to_string(pick(9)), endpoint, 1 + pick(4), kTerm);
      order.kind = state::OrderKind::ChangeRole;
      order.role = "decode";
      return MakeIssue(order);
    }
    case 5:
      return MakeCommand(MakeDispatch(attempt, key));
    case 6:
      return MakeCommand(MakeComplete(attempt, "x", key, now));
    case 7:
      return MakeCommand(MakeAbandon(attempt, pick(2) == 0, false, key));
    case 8:
      return MakeCommand(MakeGone(vm, pick(3)));
    default:
      return MakeCommand(MakeReserve(vm, 1 + pick(2), key, now));
  }
}

std::string
PackResult(const state::CommandResultT& aResult)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(state::CommandResult::Pack(builder, &aResult));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

} // namespace

TEST_GROUP(ReplicatedState)
{
  ReplicatedState m_state;
  std::uint64_t m_index = 0;

  state::CommandResultT Apply(const state::CommandT& aCommand)
  {
    return m_state.Apply(++m_index, kTerm, aCommand);
  }
  void CheckCode(ResultCode aExpected, const state::CommandResultT& aResult)
  {
    CHECK_EQUAL_TEXT(static_cast<int>(aExpected),
                     static_cast<int>(aResult.code),
                     aResult.text.c_str());
  }
};

TEST(ReplicatedState, AResentChangeGetsItsFirstAnswer)
{
  const auto first = Apply(MakeClassChange("one", 0, "urgent"));
  CheckCode(ResultCode::Ok, first);
  CheckCode(ResultCode::Ok, Apply(MakeClassChange("two", 1, "calm")));
  const auto again = Apply(MakeClassChange("one", 0, "urgent"));
  CheckCode(ResultCode::Duplicate, again);
  CHECK_EQUAL(first.revision, again.revision);
  CHECK_EQUAL(first.index, again.index);
  CheckCode(ResultCode::Invalid, Apply(MakeClassChange("one", 2, "urgent")));
  CheckCode(ResultCode::Invalid, Apply(MakeClassChange("", 2, "urgent")));
  CHECK_EQUAL(2, m_state.Config().revision);
}

TEST(ReplicatedState, ARefusedChangeStaysRefused)
{
  CheckCode(ResultCode::RevisionConflict,
            Apply(MakeClassChange("early", 1, "urgent")));
  CheckCode(ResultCode::Ok, Apply(MakeClassChange("one", 0, "calm")));
  CheckCode(ResultCode::RevisionConflict,
            Apply(MakeClassChange("early", 1, "urgent")));
  CHECK_EQUAL(1, m_state.Config().revision);
}

TEST(ReplicatedState, TheMemoryOfAnswersDoesNotGrowWithTheirTexts)
{
  constexpr std::size_t kPrefixBytes = 100'000;
  constexpr std::size_t kAnswers = 50;
  constexpr std::size_t kMaxAnswerBytes = 1500;
  for (std::size_t i = 0; i < kAnswers; ++i) {
    auto service = std::make_unique<state::ServiceT>();
    service->name = "plain";
    service->idempotent_prefixes.emplace_back(kPrefixBytes, 'p');
    state::CommandT change =
      MakeClassChange("change-" + std::to_string(i), 0, "calm");
    change.body.AsApplyChange()->change->put_services.push_back(
      std::move(service));
    const auto refused = Apply(change);
    CheckCode(ResultCode::Invalid, refused);
    CHECK_COMPARE(refused.text.size(), >, kPrefixBytes);
    const auto again = Apply(change);
    CheckCode(ResultCode::Invalid, again);
    CHECK(refused.text.starts_with(again.text));
    CHECK_COMPARE(again.text.size(), <, kMaxAnswerBytes);
  }
  CHECK_COMPARE(m_state.TakeImage().size(), <, kAnswers * kMaxAnswerBytes);
  CHECK_COMPARE(m_state.CountHistoryBytes(), <, kAnswers * kMaxAnswerBytes);
  CHECK_COMPARE(m_state.CountHistoryBytes(), >, kAnswers);
}

TEST(ReplicatedState, AnswersOutliveAnImage)
{
  Apply(MakeClassChange("one", 0, "urgent"));
  Apply(MakeCommand(MakeReserve("A", 1)));
  Apply(MakeCommand(MakeDispatch(1)));
  Apply(MakeCommand(MakeComplete(1, "slot 7")));
  ReplicatedState restored;
  CHECK_TRUE(restored.Restore(m_state.TakeImage()));
  CheckCode(ResultCode::Duplicate,
            restored.Apply(9, kTerm, MakeClassChange("one", 0, "urgent")));
  const auto resent =
    restored.Apply(10, kTerm, MakeCommand(MakeReserve("B", 1)));
  CHECK_FALSE(resent.owner);
  STRCMP_EQUAL("slot 7", resent.answer->body.c_str());
}

TEST(ReplicatedState, EvictedKeysOutliveAnImage)
{
  ReplicatedState state(MakeTightLimits());
  const std::string key = MakeTimedKey(1000, 1);
  state.Apply(1, kTerm, MakeCommand(MakeReserve("A", 1, key, 1000)));
  state.Apply(2, kTerm, MakeCommand(MakeReserve("B", 1, key, 1000)));
  state.Apply(3, kTerm, MakeCommand(MakeDispatch(2, key)));
  state.Apply(4, kTerm, MakeCommand(MakeComplete(2, "x", key)));
  for (std::uint64_t index = 5; index < 30; ++index) {
    state.Apply(
      index,
      kTerm,
      MakeCommand(MakeReserve("B", 1, "k" + std::to_string(index), 1060)));
  }
  CHECK_TRUE(state.FindAction("acme", key) == nullptr);
  ReplicatedState restored(MakeTightLimits());
  CHECK_TRUE(restored.Restore(state.TakeImage()));
  CheckCode(
    ResultCode::KeyExpired,
    restored.Apply(30, kTerm, MakeCommand(MakeReserve("A", 1, key, 1060))));
  restored.Apply(31, kTerm, MakeCommand(MakeGone("B", 1)));
  const auto fresh =
    restored.Apply(32, kTerm, MakeCommand(MakeReserve("A", 1, "fresh", 2000)));
  CheckCode(ResultCode::Ok, fresh);
  CHECK_EQUAL(3, fresh.attempt);
}

TEST(ReplicatedState, TimeNeverGoesBack)
{
  Apply(MakeCommand(MakeReserve("A", 1, "one", 5000)));
  Apply(MakeCommand(MakeReserve("A", 1, "two", 4000)));
  CHECK_EQUAL(5000, m_state.FindAction("acme", "two")->unix_ms);
  CheckCode(ResultCode::Invalid,
            Apply(MakeChange(
              "past", 0, R"({"settings":{"shutdown_unix_ms":4500}})", 4000)));
}

TEST(ReplicatedState, TheLeaderReplacesAProposersTime)
{
  state::CommandT command = MakeCommand(MakeReserve("A", 1, "one", 5000));
  StampCommand(command, 3000);
  Apply(command);
  CHECK_EQUAL(3000, m_state.LastUnixMs());
  state::CommandT announce = MakeAnnounce(MakeEngine("e", 1));
  StampCommand(announce, 4000);
  Apply(announce);
  CHECK_EQUAL(3000, m_state.LastUnixMs());
}

TEST(ReplicatedState, AnOrderCarriesTheTermOfItsEntry)
{
  Apply(MakeAnnounce(MakeEngine("e", 1)));
  state::EngineOrderT order = MakeOrder("one", "e", 1, kTerm - 1);
  order.kind = state::OrderKind::ChangeRole;
  order.role = "decode";
  CheckCode(ResultCode::Invalid, Apply(MakeIssue(order)));
  order.term = kTerm;
  CheckCode(ResultCode::Ok, Apply(MakeIssue(order)));
  CHECK_EQUAL(1, m_state.FindPendingOrders().size());
}

TEST(ReplicatedState, ListsWhatGatewaysHold)
{
  Apply(MakeCommand(MakeReserve("A", 1, "one", 1000)));
  Apply(MakeCommand(MakeReserve("A", 2, "two", 2000)));
  Apply(MakeCommand(MakeReserve("B", 1, "three", 3000)));
  CHECK_EQUAL(2, m_state.ListHolders().size());
  CHECK_EQUAL(1, m_state.FindHeldActions("A", 1).size());
  CHECK_EQUAL(2, m_state.FindHeldActions("A", 2).size());
  CHECK_EQUAL(2, m_state.FindOverdueActions(3000, 9).size());
  Apply(MakeCommand(MakeGone("A", 2)));
  CHECK_EQUAL(1, m_state.ListHolders().size());
}

TEST(ReplicatedState, AThousandChangesComeBackWhole)
{
  for (std::uint64_t count = 0; count < 1000; ++count) {
    CheckCode(ResultCode::Ok,
              Apply(MakeClassChange("change-" + std::to_string(count),
                                    count,
                                    "class-" + std::to_string(count % 50),
                                    100 + count)));
  }
  ReplicatedState restored;
  CHECK_TRUE(restored.Restore(m_state.TakeImage()));
  CHECK_EQUAL(1000, restored.Config().revision);
  CHECK(PackConfig(m_state.Config()) == PackConfig(restored.Config()));
  for (const std::uint64_t count : { 0, 500, 999 }) {
    const auto again =
      restored.Apply(2000 + count,
                     kTerm,
                     MakeClassChange("change-" + std::to_string(count),
                                     count,
                                     "class-" + std::to_string(count % 50),
                                     100 + count));
    CheckCode(ResultCode::Duplicate, again);
    CHECK_EQUAL(count + 1, again.revision);
  }
}

// One replica applies all, one is restored from images on the way, and a
// gateway's copy is fed the accepted commands.
TEST(ReplicatedState, ReplicasAndGatewaysStayEqual)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    std::mt19937_64 random(seed);
    ReplicatedState first(MakeTightLimits());
    ReplicatedState second(MakeTightLimits());
    ConfigState gateway;
    for (std::uint64_t index = 1; index <= 3000; ++index) {
      const auto command =
        MakeRandomCommand(random, first.Config().revision, index);
      const auto result = first.Apply(index, kTerm, command);
      const auto encoded = EncodeCommand(command);
      StateReason reason;
      const auto decoded =
        DecodeCommand(encoded.data(), encoded.size(), reason);
      CHECK_TRUE(decoded.has_value());
      CHECK(PackResult(result) ==
            PackResult(second.Apply(index, kTerm, *decoded)));
      if (AffectsConfig(command) && result.code == ResultCode::Ok) {
        gateway.Apply(index, command);
      }
      gateway.AdvanceIndex(index);
      if (index % 250 == 0) {
        const auto image = first.TakeImage();
        CHECK(image == second.TakeImage());
        CHECK(PackConfig(first.Config()) == PackConfig(gateway.Image()));
        ReplicatedState restored(MakeTightLimits());
        CHECK_TRUE(restored.Restore(image));
        CHECK(image == restored.TakeImage());
        CHECK_TRUE(second.Restore(image));
      }
    }
    CHECK(first.Config().revision > 10);
  }
}

TEST(ReplicatedState, MalformedImagesAndCommandsAreRefused)
{
  Apply(MakeClassChange("one", 0, "urgent"));
  Apply(MakeCommand(MakeReserve("A", 1)));
  const auto image = m_state.TakeImage();
  for (std::size_t size = 0; size < image.size(); size += 7) {
    const std::vector<std::uint8_t> cut(image.begin(), image.begin() + size);
    CHECK_FALSE(m_state.Restore(cut));
    CHECK_TRUE(StateError::Malformed == m_state.LastReason().m_code);
  }
  state::StateImageT twice;
  twice.config = std::make_unique<state::ConfigImageT>();
  for (int count = 0; count < 2; ++count) {
    twice.config->classes.push_back(std::make_unique<state::WorkClassT>());
  }
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(state::StateImage::Pack(builder, &twice));
  CHECK_FALSE(
    m_state.Restore({ builder.GetBufferPointer(),
                      builder.GetBufferPointer() + builder.GetSize() }));
  CHECK_EQUAL(1, m_state.Config().revision);
  CHECK(image == m_state.TakeImage());

  const auto command = EncodeCommand(MakeCommand(MakeReserve("A", 1)));
  StateReason reason;
  for (std::size_t size = 0; size < command.size(); ++size) {
    const std::vector<std::uint8_t> cut(command.begin(),
                                        command.begin() + size);
    const auto decoded = DecodeCommand(cut.data(), cut.size(), reason);
    // Only bytes that pad the end may be missing.
    CHECK(!decoded || EncodeCommand(*decoded) == command);
    CHECK(!decoded || size + sizeof(std::uint64_t) > command.size());
  }
  const auto none = EncodeCommand(state::CommandT());
  CHECK_FALSE(DecodeCommand(none.data(), none.size(), reason).has_value());
  CheckCode(ResultCode::Invalid, Apply(state::CommandT()));
}
