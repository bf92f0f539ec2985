// Cuts a stream of bytes into frames.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "Wire/Frame.h"
#include "Wire/WireError.h"

namespace parsleycove {

// A checked frame inside the reader's buffer.
struct ReceivedFrame
{
  FrameKind m_kind = FrameKind::Heartbeat;
  // Valid until the next call of Append.
  std::span<const std::uint8_t> m_payload;
};

// Collects received bytes and hands out whole frames.
//
// After an error nothing more comes out: the position of the next frame in
// the stream is unknown then.
class FrameReader
{
public:
  explicit FrameReader(std::size_t aMaxPayloadBytes);

  void Append(std::span<const std::uint8_t> aBytes);
  // Empty without an error: more bytes are needed.
  std::optional<ReceivedFrame> Next();
  bool HasFailed() const { return m_reason.m_code != WireError::None; }
  const WireReason& LastReason() const { return m_reason; }

private:
  std::optional<ReceivedFrame> Fail(WireError aError, std::string aText);

  const std::size_t m_maxPayloadBytes;
  std::vector<std::uint8_t> m_buffer;
  std::size_t m_position = 0; // of the first byte not handed out
  WireReason m_reason;
};

} // namespace parsleycove
