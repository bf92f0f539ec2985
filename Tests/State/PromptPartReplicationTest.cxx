// Tests that replicas and gateways hold equal tables of prompt parts.
#include <random>
#include <string>
#include <vector>

#include <flatbuffers/flatbuffers.h>

#include "State/CommandCodec.h"
#include "State/CommandTime.h"
#include "State/Commands.h"
#include "State/ConfigJson.h"
#include "State/ConfigState.h"
#include "State/NamedEntities.h"
#include "State/PromptCommands.h"
#include "State/PromptPartTable.h"
#include "State/ReplicatedState.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;
using state::ResultCode;

namespace {

constexpr std::uint64_t kTerm = 3;
constexpr std::uint64_t kStart = 1'000'000; // ms

// Commands on few names, so that they collide often. Their times go back now
// and then, as they do after a change of the leader.
state::CommandT
MakeRandomCommand(std::mt19937_64& aRandom, std::uint64_t aIndex)
{
  auto pick = [&](std::uint64_t aCount) { return aRandom() % aCount; };
  auto pickPart = [&] { return "p" + std::to_string(pick(pick(400) + 1)); };
  const std::uint64_t now = kStart + aIndex * 200 - pick(1000);
  switch (pick(8)) {
    case 0:
      return MakeClearParts({ pickPart(), pickPart() }, now);
    case 1:
      return MakeTryPart(pickPart(), "a" + std::to_string(pick(50)), now);
    case 2:
      return MakeAnnounce(MakeEngine("e" + std::to_string(pick(8)), pick(9)));
    default: {
      std::vector<Suspect> suspects(1 + pick(4));
      for (Suspect& suspect : suspects) {
        suspect.m_attempt = "a" + std::to_string(pick(50));
        for (std::uint64_t part = pick(6) + 1; part > 0; --part) {
          suspect.m_parts.push_back(pickPart());
        }
      }
      return MakePromptCrash(
        "e" + std::to_string(pick(8)), aIndex / 40 + pick(3), suspects, now);
    }
  }
}

std::vector<std::uint8_t>
PackImage(const state::StateImageT& aImage)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(state::StateImage::Pack(builder, &aImage));
  return { builder.GetBufferPointer(),
           builder.GetBufferPointer() + builder.GetSize() };
}

state::StateImageT
UnpackImage(const std::vector<std::uint8_t>& aImage)
{
  state::StateImageT image;
  state::GetStateImage(aImage.data())->UnPackTo(&image);
  return image;
}

} // namespace

// clang-format off
TEST_GROUP(PromptPartReplication)
{
  ReplicatedState m_state;
  std::uint64_t m_index = 0;

  ResultCode Apply(const state::CommandT& aCommand)
  {
    return m_state.Apply(++m_index, kTerm, aCommand).code;
  }
  void Quarantine(const std::vector<std::string>& aParts)
  {
    for (std::uint64_t start = 1; start <= 3; ++start) {
      Apply(MakePromptCrash(
        "e", start, { { "a" + std::to_string(start), aParts } }, kStart));
    }
  }
  void CheckRefused(const state::StateImageT& aImage)
  {
    ReplicatedState other;
    CHECK_FALSE(other.Restore(PackImage(aImage)));
    CHECK(StateError::Malformed == other.LastReason().m_code);
  }
};
// clang-format on

// One replica applies all, one is restored from images on the way, and a
// gateway's copy is fed the accepted commands, without the state's time.
TEST(PromptPartReplication, ReplicasAndGatewaysStayEqual)
{
  std::size_t mostQuarantined = 0;
  std::size_t mostParts = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    std::mt19937_64 random(seed);
    ReplicatedState first;
    ReplicatedState second;
    ConfigState gateway;
    for (std::uint64_t index = 1; index <= 4000; ++index) {
      const auto command = MakeRandomCommand(random, index);
      const auto result = first.Apply(index, kTerm, command);
      const auto encoded = EncodeCommand(command);
      StateReason reason;
      const auto decoded =
        DecodeCommand(encoded.data(), encoded.size(), reason);
      CHECK_TRUE(decoded.has_value());
      CHECK(result.code == second.Apply(index, kTerm, *decoded).code);
      if (AffectsConfig(command) && result.code == ResultCode::Ok) {
        CHECK(gateway.Apply(index, *decoded).code == ResultCode::Ok);
      }
      gateway.AdvanceIndex(index);
      const auto& parts = first.Config().prompt_parts;
      CHECK(parts.size() <= kMaxPromptParts);
      CHECK(IsSortedAndUnique(parts));
      CHECK(HasSoundPromptParts(first.Config()));
      mostParts = std::max(mostParts, parts.size());
      mostQuarantined = std::max<std::size_t>(
        mostQuarantined,
        std::count_if(parts.begin(), parts.end(), [](const auto& aPart) {
          return IsQuarantined(*aPart);
        }));
      CHECK(PackConfig(first.Config()) == PackConfig(gateway.Image()));
      if (index % 50 == 0) {
        const auto image = first.TakeImage();
        CHECK(image == second.TakeImage());
        CHECK_TRUE(second.Restore(image));
        CHECK(image == second.TakeImage());
      }
    }
  }
  LONGS_EQUAL(kMaxPromptParts, mostParts);
  CHECK(mostQuarantined > 3);
}

TEST(PromptPartReplication, ARestartKeepsQuarantinesTrialsAndClears)
{
  Quarantine({ "bad", "tied" });
  Apply(MakePromptCrash("f", 1, { { "a", { "sound", "once" } } }, kStart));
  Apply(MakeClearParts({ "sound" }, kStart));
  CHECK(Apply(MakeTryPart("bad", "a", kStart + kFirstTrialDelayMs)) ==
        ResultCode::Ok);
  ReplicatedState restored;
  CHECK_TRUE(restored.Restore(m_state.TakeImage()));
  CHECK(PackConfig(m_state.Config()) == PackConfig(restored.Config()));
  const auto& image = restored.Config();
  const auto* bad = FindEntity(image.prompt_parts, "bad");
  CHECK(IsQuarantined(*bad));
  CHECK_EQUAL(2, FindTied(image, *bad).size());
  CHECK_EQUAL(kStart + kFirstTrialDelayMs + kSecondTrialDelayMs,
              NextTrialUnixMs(*bad));
  CHECK(restored
          .Apply(++m_index,
                 kTerm,
                 MakeTryPart("bad", "b", kStart + kFirstTrialDelayMs + 1))
          .code == ResultCode::Duplicate);
  CHECK(restored
          .Apply(++m_index,
                 kTerm,
                 MakePromptCrash("f", 2, { { "a", { "sound" } } }, kStart + 1))
          .code == ResultCode::Duplicate);
}

TEST(PromptPartReplication, AnImageWithoutTheTableDecodes)
{
  Apply(MakeAnnounce(MakeEngine("e", 1)));
  const auto image = m_state.TakeImage();
  // As the release before wrote it: the table is absent, not empty.
  const auto* config = state::GetStateImage(image.data())->config();
  CHECK_FALSE(
    flatbuffers::IsFieldPresent(config, state::ConfigImage::VT_PROMPT_PARTS));
  ReplicatedState restored;
  CHECK_TRUE(restored.Restore(image));
  CHECK_EQUAL(0, restored.Config().prompt_parts.size());
  CHECK_EQUAL(1, restored.Config().endpoints.size());
  CHECK(restored
          .Apply(++m_index,
                 kTerm,
                 MakePromptCrash("e", 1, { { "a", { "p" } } }, kStart))
          .code == ResultCode::Ok);
}

TEST(PromptPartReplication, UnsoundImagesAreRefused)
{
  Quarantine({ "one", "two" });
  const auto image = m_state.TakeImage();
  const state::StateImageT sound = UnpackImage(image);
  CHECK_TRUE(ReplicatedState().Restore(PackImage(sound)));

  state::StateImageT unsorted = sound;
  std::swap(unsorted.config->prompt_parts[0], unsorted.config->prompt_parts[1]);
  CheckRefused(unsorted);

  state::StateImageT repeated = sound;
  repeated.config->prompt_parts[1]->id = "one";
  CheckRefused(repeated);

  state::StateImageT noEndpoint = sound;
  noEndpoint.config->prompt_parts[0]->crashes[0]->endpoint.reset();
  CheckRefused(noEndpoint);

  state::StateImageT sameEndpoint = sound;
  sameEndpoint.config->prompt_parts[0]->crashes[0]->endpoint->incarnation = 2;
  CheckRefused(sameEndpoint);

  state::StateImageT noCrashes = sound;
  noCrashes.config->prompt_parts[0]->crashes.clear();
  CheckRefused(noCrashes);
}

TEST(PromptPartReplication, ACopyIsSortedHoweverItsImageWas)
{
  Quarantine({ "one", "two" });
  state::ConfigImageT image = m_state.Config();
  std::swap(image.prompt_parts[0], image.prompt_parts[1]);
  const ConfigState copy(std::move(image));
  CHECK(PackConfig(m_state.Config()) == PackConfig(copy.Image()));
}

TEST(PromptPartReplication, TheLeaderReplacesAProposersTime)
{
  for (state::CommandT command :
       { MakePromptCrash("e", 1, { { "a", { "p" } } }, 5000),
         MakeClearParts({ "p" }, 5000),
         MakeTryPart("p", "a", 5000) }) {
    CHECK_EQUAL(5000, ReadCommandTime(command));
    StampCommand(command, 3000);
    CHECK_EQUAL(3000, ReadCommandTime(command));
  }
}

TEST(PromptPartReplication, OnlyTheCommandsAboutPartsAreDryRun)
{
  CHECK_FALSE(WouldChange(m_state.Config(), state::CommandT()));
  CHECK_FALSE(WouldChange(m_state.Config(), MakeAnnounce(MakeEngine("e", 1))));
  const auto report = MakePromptCrash("e", 1, { { "a", { "p" } } }, kStart);
  CHECK_TRUE(WouldChange(m_state.Config(), report));
  CHECK_EQUAL(0, m_state.Config().prompt_parts.size());
  Apply(report);
  CHECK_FALSE(WouldChange(m_state.Config(), report));
}

TEST(PromptPartReplication, OperatorsReadAPartAsJson)
{
  Quarantine({ "bad" });
  Apply(MakeTryPart("bad", "a", kStart + kFirstTrialDelayMs));
  STRCMP_EQUAL(
    R"({"id":"bad","quarantined_unix_ms":1000000,"trials":1,)"
    R"("next_trial_unix_ms":1070000,"cleared_unix_ms":0,"crashes":[)"
    R"({"endpoint":"e","incarnation":1,"attempt":"a1","unix_ms":1000000},)"
    R"({"endpoint":"e","incarnation":2,"attempt":"a2","unix_ms":1000000},)"
    R"({"endpoint":"e","incarnation":3,"attempt":"a3","unix_ms":1000000}]})",
    PrintPromptPart(*m_state.Config().prompt_parts.front()).c_str());
}
