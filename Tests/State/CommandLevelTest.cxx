// Tests of the feature levels of commands.
#include <memory>
#include <string>

#include "State/CommandCodec.h"
#include "State/CommandLevel.h"
#include "State/ReplicatedState.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using state::CommandBody;

namespace {

state::CommandT
MakeGatewayAnnouncement()
{
  state::AnnounceGatewayT announce;
  announce.gateway = std::make_unique<state::EntryGatewayT>();
  announce.gateway->vm = "vm-1";
  announce.gateway->zone = "zone-a";
  announce.gateway->address = "10.0.0.1";
  announce.gateway->port = 80;
  announce.unix_ms = 1000;
  state::CommandT command;
  command.body.Set(std::move(announce));
  return command;
}

std::vector<std::uint8_t>
EncodeImageOfLevel(std::uint32_t aLevel)
{
  state::StateImageT image;
  image.config = std::make_unique<state::ConfigImageT>();
  image.feature_level = aLevel;
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(state::StateImage::Pack(builder, &image));
  return { builder.GetBufferPointer(),
           builder.GetBufferPointer() + builder.GetSize() };
}

} // namespace

// clang-format off
TEST_GROUP(CommandLevel)
{
};

// A new kind without a row would never be proposed; one with the level of an
// older kind would end the processes of builds that do not know it.
TEST(CommandLevel, EveryKindOfTheSchemaHasALevel)
{
  for (const CommandBody kind : state::EnumValuesCommandBody()) {
    const bool isKind = kind != CommandBody::NONE;
    CHECK_EQUAL_TEXT(isKind, FindCommandLevel(kind).has_value(),
                     state::EnumNameCommandBody(kind));
    CHECK_TRUE(FindCommandLevel(kind).value_or(0) <= kFeatureLevel);
  }
}

TEST(CommandLevel, KindsOfBuildsFromBeforeLevelsHaveLevelZero)
{
  // Builds from before there were levels know the kinds up to this one.
  const auto last = CommandBody::SuspectEndpoint;
  for (const CommandBody kind : state::EnumValuesCommandBody()) {
    if (kind != CommandBody::NONE) {
      CHECK_EQUAL_TEXT(kind <= last, FindCommandLevel(kind) == 0U,
                       state::EnumNameCommandBody(kind));
    }
  }
}

TEST(CommandLevel, ACommandOfANewerBuildHasNone)
{
  state::CommandT command;
  command.body.type = static_cast<CommandBody>(200);
  CHECK_FALSE(FindCommandLevel(command).has_value());
  CHECK_FALSE(FindCommandLevel(state::CommandT{}).has_value());
}

TEST(CommandLevel, TheStateKeepsTheLevelOfItsLogInImages)
{
  ReplicatedState state;
  LONGS_EQUAL(0, state.FeatureLevel());
  state.Apply(1, 1, MakeGatewayAnnouncement());
  LONGS_EQUAL(1, state.FeatureLevel());
  ReplicatedState copy;
  CHECK_TRUE(copy.Restore(state.TakeImage()));
  LONGS_EQUAL(1, copy.FeatureLevel());
}

TEST(CommandLevel, AnImageFromBeforeLevelsShowsItByItsTables)
{
  state::StateImageT image;
  image.config = std::make_unique<state::ConfigImageT>();
  image.config->gateways.push_back(std::make_unique<state::EntryGatewayT>(
    *MakeGatewayAnnouncement().body.AsAnnounceGateway()->gateway));
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(state::StateImage::Pack(builder, &image));
  ReplicatedState state;
  CHECK_TRUE(state.Restore({ builder.GetBufferPointer(),
                             builder.GetBufferPointer() + builder.GetSize() }));
  LONGS_EQUAL(1, state.FeatureLevel());
}

TEST(CommandLevel, AnImageOfANewerBuildIsRefused)
{
  ReplicatedState state;
  CHECK_TRUE(state.Restore(EncodeImageOfLevel(kFeatureLevel)));
  CHECK_FALSE(state.Restore(EncodeImageOfLevel(kFeatureLevel + 1)));
  CHECK_TRUE(state.LastReason().m_code == StateError::Unreadable);
  STRCMP_EQUAL("image: feature level is 2, expected at most 1",
               state.LastReason().m_text.c_str());
}
// clang-format on
