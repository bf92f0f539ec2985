// Tests of cutting a stream into frames.
#include "Wire/FrameReader.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr std::size_t kMaxPayloadBytes = 1024;

std::vector<std::uint8_t>
MakePayload(std::size_t aSize)
{
  std::vector<std::uint8_t> payload(aSize);
  for (std::size_t i = 0; i < aSize; ++i) {
    payload[i] = static_cast<std::uint8_t>(i * 7);
  }
  return payload;
}

std::vector<std::uint8_t>
EncodeFrame(FrameKind aKind, const std::vector<std::uint8_t>& aPayload)
{
  return Frame(aKind, aPayload).Bytes();
}

// Feeds damaged bytes and returns the error that comes out.
WireError
ReadDamaged(const std::vector<std::uint8_t>& aBytes)
{
  FrameReader reader(kMaxPayloadBytes);
  reader.Append(aBytes);
  CHECK_FALSE(reader.Next().has_value());
  // Nothing comes out after an error, whatever follows.
  reader.Append(EncodeFrame(FrameKind::Feed, MakePayload(3)));
  const WireError error = reader.LastReason().m_code;
  CHECK_FALSE(reader.Next().has_value() && error != WireError::None);
  return error;
}

} // namespace

TEST_GROUP(FrameReader){};

TEST(FrameReader, DeliversFramesTornAtEveryByte)
{
  const auto payload = MakePayload(300);
  auto stream = EncodeFrame(FrameKind::Peer, payload);
  const auto second = EncodeFrame(FrameKind::Feed, {});
  stream.insert(stream.end(), second.begin(), second.end());
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    FrameReader reader(kMaxPayloadBytes);
    std::vector<std::vector<std::uint8_t>> received;
    std::vector<FrameKind> kinds;
    const std::vector<std::uint8_t> head(stream.begin(), stream.begin() + cut);
    const std::vector<std::uint8_t> tail(stream.begin() + cut, stream.end());
    for (const auto& part : { head, tail }) {
      reader.Append(part);
      while (const auto frame = reader.Next()) {
        kinds.push_back(frame->m_kind);
        received.emplace_back(frame->m_payload.begin(), frame->m_payload.end());
      }
    }
    CHECK_EQUAL(2, received.size());
    CHECK(received[0] == payload);
    CHECK(received[1].empty());
    CHECK(kinds[0] == FrameKind::Peer && kinds[1] == FrameKind::Feed);
    CHECK_FALSE(reader.HasFailed());
  }
}

TEST(FrameReader, RefusesEveryFlippedBitOfKindChecksumAndPayload)
{
  const auto good = EncodeFrame(FrameKind::Peer, MakePayload(20));
  for (std::size_t byte = 4; byte < good.size(); ++byte) {
    for (int bit = 0; bit < 8; ++bit) {
      auto bad = good;
      bad[byte] = static_cast<std::uint8_t>(bad[byte] ^ (1 << bit));
      const WireError error = ReadDamaged(bad);
      CHECK(error == WireError::BadChecksum || error == WireError::BadKind);
    }
  }
}

TEST(FrameReader, RefusesALengthAboveTheLimitBeforeReadingIt)
{
  const auto good = EncodeFrame(FrameKind::Feed, MakePayload(kMaxPayloadBytes));
  FrameReader reader(kMaxPayloadBytes);
  reader.Append(good);
  CHECK(reader.Next().has_value());
  auto header = EncodeFrame(FrameKind::Feed, MakePayload(kMaxPayloadBytes + 1));
  header.resize(kFrameHeaderBytes);
  CHECK(ReadDamaged(header) == WireError::BadLength);
}
