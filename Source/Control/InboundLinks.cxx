// Owns the links that a replica has accepted from peers and gateways.
#include "Control/InboundLinks.h"

#include <utility>

#include "Wire/MessageCodec.h"

namespace parsleycove {

InboundLinks::InboundLinks(Handlers aHandlers)
  : m_handlers(std::move(aHandlers))
{
}

InboundLinks::~InboundLinks()
{
  Close();
}

void
InboundLinks::Add(FrameLink::Pointer aLink)
{
  FrameLink& link = *aLink;
  m_links.emplace(&link, std::move(aLink));
  link.Start(*this);
}

void
InboundLinks::Close()
{
  for (const auto& [key, link] : m_links) {
    link->Close();
  }
  m_links.clear();
}

void
InboundLinks::OnOpen(FrameLink& /*aLink*/)
{
  // The side that connected sends the first message.
}

void
InboundLinks::OnFrame(FrameLink& aLink, const ReceivedFrame& aFrame)
{
  const FrameLink::Pointer link(&aLink);
  if (aFrame.m_kind == FrameKind::Peer) {
    if (const auto message = DecodePeerMessage(aFrame.m_payload)) {
      m_handlers.m_onPeer(link, *message);
      return;
    }
  } else if (const auto message =
               DecodeFeedFrame(aFrame.m_kind, aFrame.m_payload)) {
    m_handlers.m_onFeed(link, *message);
    return;
  }
  Reject(aLink);
}

void
InboundLinks::Reject(FrameLink& aLink)
{
  const FrameLink::Pointer link(&aLink);
  m_handlers.m_log(aLink.PeerName() + ": malformed message; closing the link");
  m_handlers.m_onClosed(aLink);
  m_links.erase(&aLink);
  link->Close();
}

void
InboundLinks::OnClosed(FrameLink& aLink, const WireReason& aReason)
{
  if (aReason.m_code != WireError::Disconnected) {
    m_handlers.m_log(aReason.m_text);
  }
  m_handlers.m_onClosed(aLink);
  m_links.erase(&aLink);
}

} // namespace parsleycove
