// Owns the links that a replica has accepted from peers and gateways.
#pragma once

#include <functional>
#include <map>

#include "ConsensusGenerated.h"
#include "FeedGenerated.h"
#include "Wire/FrameLink.h"

namespace parsleycove {

// Decodes received frames and passes them to the handler for their kind. A
// malformed message closes its link, since later data on the link cannot be
// trusted.
class InboundLinks final : public FrameLinkListener
{
public:
  struct Handlers
  {
    std::function<void(const FrameLink::Pointer&,
                       const consensus::PeerMessageT&)>
      m_onPeer;
    std::function<void(const FrameLink::Pointer&, const feed::FeedMessageT&)>
      m_onFeed;
    std::function<void(const FrameLink&)> m_onClosed;
    std::function<void(const std::string&)> m_log;
  };

  explicit InboundLinks(Handlers aHandlers);
  ~InboundLinks() override;
  InboundLinks(const InboundLinks&) = delete;
  InboundLinks& operator=(const InboundLinks&) = delete;

  void Add(FrameLink::Pointer aLink);
  void Close();

  void OnOpen(FrameLink& aLink) override;
  void OnFrame(FrameLink& aLink, const ReceivedFrame& aFrame) override;
  void OnClosed(FrameLink& aLink, const WireReason& aReason) override;

private:
  void Reject(FrameLink& aLink);

  const Handlers m_handlers;
  std::map<const FrameLink*, FrameLink::Pointer> m_links;
};

} // namespace parsleycove
