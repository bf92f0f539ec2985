// One message as it travels over TCP: length, kind, CRC-32 and payload.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "Base/EnumTable.h"

namespace parsleycove {

enum class FrameKind : std::uint8_t
{
  Heartbeat = 0,
  Peer = 1,
  Feed = 2,
  // A feed message whose payload is packed.
  PackedFeed = 3,
};

inline constexpr std::array kFrameKindNames{
  EnumName<FrameKind>{ FrameKind::Heartbeat, "heartbeat" },
  EnumName<FrameKind>{ FrameKind::Peer, "peer" },
  EnumName<FrameKind>{ FrameKind::Feed, "feed" },
  EnumName<FrameKind>{ FrameKind::PackedFeed, "packed_feed" },
};

// Little-endian length of the payload, kind, CRC-32 of kind and payload.
inline constexpr std::size_t kFrameHeaderBytes = 4 + 1 + 4;

// CRC-32 over the kind and the payload.
std::uint32_t
ComputeFrameChecksum(FrameKind aKind, std::span<const std::uint8_t> aPayload);

// An encoded frame, shared by every link that it is sent on.
//
// Invariant: never changed after construction.
class Frame : public boost::intrusive_ref_counter<Frame>
{
public:
  using Pointer = boost::intrusive_ptr<const Frame>;

  Frame(FrameKind aKind, std::span<const std::uint8_t> aPayload);

  const std::vector<std::uint8_t>& Bytes() const { return m_bytes; }

private:
  std::vector<std::uint8_t> m_bytes;
};

} // namespace parsleycove
