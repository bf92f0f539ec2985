// Turns typed messages into frames and verified payloads into messages.
#include "Wire/MessageCodec.h"

namespace parsleycove {

namespace {

constexpr flatbuffers::uoffset_t kMaxDepth = 32;
constexpr flatbuffers::uoffset_t kMaxTables = 10'000'000;

Frame::Pointer
WrapFinished(FrameKind aKind, const flatbuffers::FlatBufferBuilder& aBuilder)
{
  return { new Frame(aKind,
                     { aBuilder.GetBufferPointer(), aBuilder.GetSize() }) };
}

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
  return WrapFinished(FrameKind::Feed, builder);
}

std::optional<consensus::PeerMessageT>
DecodePeerMessage(std::span<const std::uint8_t> aPayload)
{
  flatbuffers::Verifier verifier(
    aPayload.data(), aPayload.size(), kMaxDepth, kMaxTables);
  if (!consensus::VerifyPeerMessageBuffer(verifier)) {
    return std::nullopt;
  }
  consensus::PeerMessageT message;
  consensus::GetPeerMessage(aPayload.data())->UnPackTo(&message);
  return message;
}

std::optional<feed::FeedMessageT>
DecodeFeedMessage(std::span<const std::uint8_t> aPayload)
{
  flatbuffers::Verifier verifier(
    aPayload.data(), aPayload.size(), kMaxDepth, kMaxTables);
  if (!feed::VerifyFeedMessageBuffer(verifier)) {
    return std::nullopt;
  }
  feed::FeedMessageT message;
  feed::GetFeedMessage(aPayload.data())->UnPackTo(&message);
  return message;
}

} // namespace parsleycove
