// Tests of decoding messages from damaged payloads.
#include "Wire/MessageCodec.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

std::vector<std::uint8_t>
MakePayload()
{
  feed::HelloT hello;
  hello.vm = "vm-1";
  hello.zone = "zone-a";
  hello.epoch = 3;
  const Frame::Pointer frame = EncodeFeedBody(std::move(hello));
  const auto& bytes = frame->Bytes();
  return { bytes.begin() + kFrameHeaderBytes, bytes.end() };
}

} // namespace

TEST_GROUP(MessageCodec){};

TEST(MessageCodec, ReturnsWhatWasEncoded)
{
  const auto message = DecodeFeedMessage(MakePayload());
  CHECK(message.has_value());
  CHECK(message->body.AsHello() != nullptr);
  STRCMP_EQUAL("zone-a", message->body.AsHello()->zone.c_str());
}

TEST(MessageCodec, RefusesEveryTruncation)
{
  const auto payload = MakePayload();
  for (std::size_t size = 0; size < payload.size() - 8; ++size) {
    CHECK_FALSE(DecodeFeedMessage({ payload.data(), size }).has_value());
    CHECK_FALSE(DecodePeerMessage({ payload.data(), size }).has_value());
  }
}

TEST(MessageCodec, NeverReadsOutsideOfADamagedPayload)
{
  const auto payload = MakePayload();
  for (std::size_t byte = 0; byte < payload.size(); ++byte) {
    for (int bit = 0; bit < 8; ++bit) {
      auto bad = payload;
      bad[byte] = static_cast<std::uint8_t>(bad[byte] ^ (1 << bit));
      // Either verdict is right; the sanitizers watch the reads.
      DecodeFeedMessage(bad);
      DecodePeerMessage(bad);
    }
  }
  CHECK(DecodeFeedMessage(payload).has_value());
}
