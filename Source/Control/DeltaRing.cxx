// The latest configuration changes as encoded frames, for gateways that
// reconnect.
#include "Control/DeltaRing.h"

#include <utility>

namespace parsleycove {

DeltaRing::DeltaRing(std::size_t aMaxBytes)
  : m_maxBytes(aMaxBytes)
{
}

void
DeltaRing::Reset(std::uint64_t aIndex)
{
  m_deltas.clear();
  m_bytes = 0;
  m_floor = aIndex;
}

void
DeltaRing::Add(std::uint64_t aIndex, Frame::Pointer aFrame)
{
  m_bytes += aFrame->Bytes().size();
  m_deltas.push_back({ aIndex, std::move(aFrame) });
  while (m_bytes > m_maxBytes) {
    const Delta& oldest = m_deltas.front();
    m_floor = oldest.m_index;
    m_bytes -= oldest.m_frame->Bytes().size();
    m_deltas.pop_front();
  }
}

std::optional<std::vector<Frame::Pointer>>
DeltaRing::After(std::uint64_t aIndex) const
{
  if (aIndex < m_floor) {
    return std::nullopt;
  }
  std::vector<Frame::Pointer> frames;
  for (const Delta& delta : m_deltas) {
    if (delta.m_index > aIndex) {
      frames.push_back(delta.m_frame);
    }
  }
  return frames;
}

} // namespace parsleycove
