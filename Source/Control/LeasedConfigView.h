// The gateway's copy of the configuration and the right to work from it.
#pragma once

#include <atomic>
#include <cstdint>

#include "Base/Clock.h"
#include "Base/Publication.h"
#include "State/ClusterView.h"
#include "State/ConfigState.h"

namespace parsleycove {

// Changed by one thread, read by any.
//
// Invariant: the published view only moves to higher indexes.
class LeasedConfigView
{
public:
  LeasedConfigView();

  void ApplyImage(const state::ConfigImageT& aImage);
  // False when the change does not fit this copy; a new image is needed then.
  bool ApplyDelta(std::uint64_t aIndex, const state::CommandT& aCommand);
  // Everything up to aIndex has been received.
  void Advance(std::uint64_t aIndex);
  // Makes what was taken visible; one new view for any number of changes.
  void Publish();
  // A quorum confirmed what has been received; publishes it first.
  void ExtendLease(TimePoint aLeaseEnd);
  void UpdateInForceIndex(std::uint64_t aIndex);
  void UpdateGatewayCount(std::uint32_t aCount) { m_gatewayCount = aCount; }

  bool HasImage() const { return m_hasImage; }
  // What to acknowledge: everything up to here is published.
  std::uint64_t AppliedIndex() const { return m_appliedIndex; }
  std::uint64_t ConfigIndex() const { return m_configIndex; }

  // Any thread.
  boost::intrusive_ptr<const ClusterView> Read() const;
  bool HasLease(TimePoint aNow) const;
  std::uint64_t InForceIndex() const { return m_inForceIndex.load(); }
  std::uint32_t GatewayCount() const { return m_gatewayCount.load(); }

private:
  ConfigState m_config;
  bool m_hasImage = false;
  bool m_changed = false; // since the last Publish
  std::uint64_t m_appliedIndex = 0;
  std::uint64_t m_configIndex = 0; // of the last change
  Publication<const ClusterView> m_view;
  std::atomic<Duration::rep> m_leaseEnd{ 0 }; // ns of BootClock; 0: none
  std::atomic<std::uint64_t> m_inForceIndex{ 0 };
  std::atomic<std::uint32_t> m_gatewayCount{ 0 };
};

} // namespace parsleycove
