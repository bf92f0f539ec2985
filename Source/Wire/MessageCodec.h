// Turns typed messages into frames and verified payloads into messages.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "ConsensusGenerated.h"
#include "FeedGenerated.h"
#include "Wire/Frame.h"

namespace parsleycove {

Frame::Pointer
EncodePeerFrame(const consensus::PeerMessageT& aMessage);

Frame::Pointer
EncodeFeedFrame(const feed::FeedMessageT& aMessage);

// Encodes a message of the feed given by its body.
template<typename Body>
Frame::Pointer
EncodeFeedBody(Body aBody)
{
  feed::FeedMessageT message;
  message.body.Set(std::move(aBody));
  return EncodeFeedFrame(message);
}

// Empty when the payload is not a well-formed message of that kind.
std::optional<consensus::PeerMessageT>
DecodePeerMessage(std::span<const std::uint8_t> aPayload);

// Also of a packed payload; empty for other kinds of frames.
std::optional<feed::FeedMessageT>
DecodeFeedFrame(FrameKind aKind, std::span<const std::uint8_t> aPayload);

std::optional<feed::FeedMessageT>
DecodeFeedMessage(std::span<const std::uint8_t> aPayload);

} // namespace parsleycove
