// Tests of packed payloads.
#include <string>

#include "Wire/FrameReader.h"
#include "Wire/MessageCodec.h"
#include "Wire/Packing.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr std::size_t kMaxBytes = 1024UL * 1024;

// As a configuration of many routes.
std::vector<std::uint8_t>
MakeRoutes(int aCount)
{
  std::string text;
  for (int i = 0; i < aCount; ++i) {
    text += R"({"name":"r-)" + std::to_string(i * 7919) +
            R"(","host":"one.example","kind":"streaming","timeout-ms":20000},)";
  }
  return { text.begin(), text.end() };
}

} // namespace

// clang-format off
TEST_GROUP(Packing)
{
};
// clang-format on

TEST(Packing, WhatWasPackedComesBack)
{
  // Every size counts: a codec may lose the end of some.
  for (int count = 0; count < 1200; ++count) {
    const auto payload = MakeRoutes(count);
    const auto back = Unpack(Pack(payload), kMaxBytes);
    CHECK(back.has_value());
    CHECK(*back == payload);
  }
}

TEST(Packing, AConfigurationOfManyRoutesShrinksToAFifth)
{
  const auto payload = MakeRoutes(1200);
  CHECK(Pack(payload).size() * 5 < payload.size());
}

TEST(Packing, DamagedOrCutBytesAreRefused)
{
  const auto packed = Pack(MakeRoutes(100));
  for (std::size_t size = 0; size < packed.size(); ++size) {
    CHECK_FALSE(Unpack({ packed.data(), size }, kMaxBytes).has_value());
  }
  auto larger = packed;
  ++larger[0];
  CHECK_FALSE(Unpack(larger, kMaxBytes).has_value());
  CHECK_FALSE(Unpack(packed, 10).has_value());
}

TEST(Packing, LargeMessagesOfAFeedTravelPacked)
{
  feed::DeltaT delta;
  delta.index = 7;
  delta.command = std::make_unique<state::CommandT>();
  state::PutDocumentT put;
  put.document = std::make_unique<state::RoutingDocumentT>();
  put.document->version = 3;
  const auto routes = MakeRoutes(1200);
  put.document->text.assign(routes.begin(), routes.end());
  delta.command->body.Set(std::move(put));
  const Frame::Pointer frame = EncodeFeedBody(std::move(delta));
  CHECK(frame->Bytes().size() * 5 < routes.size());
  FrameReader reader(kMaxBytes);
  reader.Append(frame->Bytes());
  const auto received = reader.Next();
  CHECK(received.has_value());
  const auto message = DecodeFeedFrame(received->m_kind, received->m_payload);
  CHECK(message.has_value());
  const auto& text =
    message->body.AsDelta()->command->body.AsPutDocument()->document->text;
  CHECK_EQUAL(routes.size(), text.size());
}
