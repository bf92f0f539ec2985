// Serves gateways on behalf of a replica: sends images, deltas and leases, and
// handles proposals and reads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "Consensus/Replica.h"
#include "Control/DeltaRing.h"
#include "Control/FeedBackend.h"
#include "State/GatewayLeaseTable.h"
#include "Wire/FrameLink.h"

namespace parsleycove {

struct FeedServerOptions
{
  Duration m_configLease = std::chrono::milliseconds(3000);
  Duration m_gatewayLease = std::chrono::seconds(15);
  std::size_t m_maxRingBytes = 4UL * 1024 * 1024;
};

// Sends every change, in log order, on each link that has sent a Hello. A link
// whose gateway reads too slowly is closed by its queue limit. The gateway then
// reconnects with its applied index and receives the deltas after that index,
// or a full image if some of these deltas have been dropped. A gateway of an
// older build gets an image instead of deltas that it does not read.
class FeedServer
{
public:
  FeedServer(const FeedServerOptions& aOptions, FeedBackend& aBackend);

  void OnMessage(TimePoint aNow,
                 const FrameLink::Pointer& aLink,
                 const feed::FeedMessageT& aMessage);
  void OnClosed(const FrameLink& aLink);

  // Called after the state was restored or replaced; sends an image on each
  // feed.
  void OnStateReplaced();
  void OnConfigChanged(std::uint64_t aIndex, const state::CommandT& aCommand);
  void OnGroupChanged();
  // Records that the applied state was current when this read was requested,
  // which is the condition for granting leases.
  void ConfirmRead(TimePoint aNow, const ReadState& aRead);
  // Returns the lowest index that the gateways have applied, for a report to
  // the leader that is sent now.
  std::uint64_t ReportMinAppliedIndex(TimePoint aNow);

  std::uint64_t MinAppliedIndex(TimePoint aNow) const;
  std::uint32_t CountLive(TimePoint aNow) const;
  std::vector<GatewayLeaseTable::Gateway> ListGateways() const;
  void RemoveExpiredGateways(TimePoint aNow);

private:
  struct Session
  {
    FrameLink::Pointer m_link;
    std::string m_vm;
    std::uint64_t m_epoch = 0;
    bool m_hasHello = false;
    std::uint32_t m_featureLevel = 0; // that the gateway reads
    // The gateway cannot read a delta that it has not been sent, so it needs
    // an image before anything later.
    bool m_needsImage = false;
  };

  void HandleHello(TimePoint aNow,
                   Session& aSession,
                   const feed::HelloT& aHello);
  void SendConfigSince(Session& aSession, std::uint64_t aHasIndex);
  void HandlePing(TimePoint aNow, Session& aSession, const feed::PingT& aPing);
  void Propose(const Session& aSession, const feed::ProposeT& aRequest);
  void ReadAction(const Session& aSession, const feed::ReadActionT& aRequest);
  void ConfirmRead(const Session& aSession, const feed::ConfirmReadT& aRequest);
  void SendStatus(TimePoint aNow,
                  const Session& aSession,
                  const feed::StatusRequestT& aRequest);
  void AddReplica(const Session& aSession, const feed::AddReplicaT& aRequest);
  void RemoveReplica(const Session& aSession,
                     const feed::RemoveReplicaT& aRequest);
  Frame::Pointer ImageFrame();
  void SendImage(Session& aSession);

  FeedBackend& m_backend;
  GatewayLeaseTable m_gateways;
  DeltaRing m_ring;
  std::map<const FrameLink*, Session> m_sessions;
  // The last encoded image and the index of its configuration.
  Frame::Pointer m_image;
  std::uint64_t m_imageIndex = 0;
};

} // namespace parsleycove
