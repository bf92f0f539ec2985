// Turns typed messages into frames and verified payloads into messages.
#include "Wire/MessageCodec.h"

#include <vector>

#include "Wire/Packing.h"

namespace parsleycove {

namespace {

constexpr flatbuffers::uoffset_t kMaxDepth = 32;
constexpr flatbuffers::uoffset_t kMaxTables = 10'000'000;
// As large as a frame may be.
constexpr std::size_t kMaxUnpackedBytes = 64UL * 1024 * 1024;

Frame::Pointer
WrapFinished(FrameKind aKind, const flatbuffers::FlatBufferBuilder& aBuilder)
{
  return { new Frame(aKind,
                     { aBuilder.GetBufferPointer(), aBuilder.GetSize() }) };
}

// A payload inside of a received stream starts anywhere; the tables' numbers
// are read in place and need their alignment.
class AlignedPayload
{
public:
  explicit AlignedPayload(std::span<const std::uint8_t> aPayload)
    : m_payload(aPayload)
  {
    if (reinterpret_cast<std::uintptr_t>(aPayload.data()) %
          alignof(std::uint64_t) !=
        0) {
      m_copy.assign(aPayload.begin(), aPayload.end());
      m_payload = m_copy;
    }
  }

  std::span<const std::uint8_t> Bytes() const { return m_payload; }

private:
  std::vector<std::uint8_t> m_copy;
  std::span<const std::uint8_t> m_payload;
};

} // namespace

Frame::Pointer
EncodePeerFrame(const consensus::PeerMessageT& aMessage)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(consensus::PeerMessage::Pack(builder, &aMessage));
  return WrapFinished(FrameKind::Peer, builder);
}

Frame::Pointer
EncodeFeedFrame(const feed::FeedMessageT& aMessage)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(feed::FeedMessage::Pack(builder, &aMessage));
  if (builder.GetSize() < kLeastPackedBytes) {
    return WrapFinished(FrameKind::Feed, builder);
  }
  const std::vector<std::uint8_t> packed =
    Pack({ builder.GetBufferPointer(), builder.GetSize() });
  return { new Frame(FrameKind::PackedFeed, packed) };
}

std::optional<consensus::PeerMessageT>
DecodePeerMessage(std::span<const std::uint8_t> aPayload)
{
  const AlignedPayload aligned(aPayload);
  const auto bytes = aligned.Bytes();
  flatbuffers::Verifier verifier(
    bytes.data(), bytes.size(), kMaxDepth, kMaxTables);
  if (!consensus::VerifyPeerMessageBuffer(verifier)) {
    return std::nullopt;
  }
  consensus::PeerMessageT message;
  consensus::GetPeerMessage(bytes.data())->UnPackTo(&message);
  return message;
}

std::optional<feed::FeedMessageT>
DecodeFeedFrame(FrameKind aKind, std::span<const std::uint8_t> aPayload)
{
  if (aKind == FrameKind::Feed) {
    return DecodeFeedMessage(aPayload);
  }
  if (aKind != FrameKind::PackedFeed) {
    return std::nullopt;
  }
  const auto payload = Unpack(aPayload, kMaxUnpackedBytes);
  return payload ? DecodeFeedMessage(*payload) : std::nullopt;
}

std::optional<feed::FeedMessageT>
DecodeFeedMessage(std::span<const std::uint8_t> aPayload)
{
  const AlignedPayload aligned(aPayload);
  const auto bytes = aligned.Bytes();
  flatbuffers::Verifier verifier(
    bytes.data(), bytes.size(), kMaxDepth, kMaxTables);
  if (!feed::VerifyFeedMessageBuffer(verifier)) {
    return std::nullopt;
  }
  feed::FeedMessageT message;
  feed::GetFeedMessage(bytes.data())->UnPackTo(&message);
  return message;
}

} // namespace parsleycove
