// The accepted links of a replica, from peers and from gateways.
#pragma once

#include <functional>
#include <map>

#include "ConsensusGenerated.h"
#include "FeedGenerated.h"
#include "Wire/FrameLink.h"

namespace parsleycove {

// Sorts received frames by their kind. A link with a malformed message is
// closed, since nothing after it can be trusted.
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
