// A gateway's copy of the cluster configuration and its configuration lease,
// the right to serve requests from that copy.
#pragma once

#include <atomic>
#include <cstdint>

#include "Base/Clock.h"
#include "Base/Publication.h"
#include "State/ClusterView.h"
#include "State/ConfigState.h"

namespace parsleycove {

// How long a gateway goes on with the last known number of gateways; longer
// than a restart of the whole control group takes.
inline constexpr std::chrono::seconds kGatewayCountHold{ 15 };

// One thread makes all changes; any thread may read.
//
// Invariant: the index of the published view never decreases.
class LeasedConfigView
{
public:
  LeasedConfigView();

  void ApplyImage(const state::ConfigImageT& aImage);
  // Ignores a change that precedes the first image or is already applied.
  // Returns false if the change cannot be applied to this copy, which then has
  // to be replaced by a new image.
  bool ApplyDelta(std::uint64_t aIndex, const state::CommandT& aCommand);
  // Records that every change up to aIndex has been received.
  void Advance(std::uint64_t aIndex);
  // Publishes all changes applied since the last call as one new view.
  void Publish();
  // Called once a quorum has confirmed the received state, which is published
  // before the lease is extended. Does nothing before the first image.
  void ExtendLease(TimePoint aLeaseEnd);
  void UpdateInForceIndex(std::uint64_t aIndex);
  // Records the number of gateways that the replica names; 0, unknown, leaves
  // the last number in use.
  void UpdateGatewayCount(TimePoint aNow, std::uint32_t aCount);

  bool HasImage() const { return m_hasImage; }
  // Index to acknowledge to the replica.
  std::uint64_t AppliedIndex() const { return m_appliedIndex; }
  std::uint64_t ConfigIndex() const { return m_configIndex; }

  // The methods below may be called by any thread.
  boost::intrusive_ptr<const ClusterView> Read() const;
  bool HasLease(TimePoint aNow) const;
  std::uint64_t InForceIndex() const { return m_inForceIndex.load(); }
  // Returns 0 if no number has been received for kGatewayCountHold.
  std::uint32_t GatewayCount(TimePoint aNow) const;

private:
  ConfigState m_config;
  bool m_hasImage = false;
  bool m_changed = false; // since the last Publish()
  std::uint64_t m_appliedIndex = 0;
  std::uint64_t m_configIndex = 0; // index of the last change
  Publication<const ClusterView> m_view;
  std::atomic<Duration::rep> m_leaseEnd{ 0 }; // ns of BootClock; 0: no lease
  std::atomic<std::uint64_t> m_inForceIndex{ 0 };
  std::atomic<std::uint32_t> m_gatewayCount{ 0 };
  std::atomic<Duration::rep> m_gatewayCountEnd{ 0 }; // ns of BootClock
};

} // namespace parsleycove
