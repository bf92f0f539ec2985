// A gateway's copy of the cluster configuration and its configuration lease,
// the right to serve requests from that copy.
#include "Control/LeasedConfigView.h"

#include <algorithm>

namespace parsleycove {

LeasedConfigView::LeasedConfigView()
  : m_view(Publication<const ClusterView>::Pointer(
      new ClusterView(state::ConfigImageT{})))
{
}

void
LeasedConfigView::ApplyImage(const state::ConfigImageT& aImage)
{
  // An older image, from a replica that lags behind, would roll this copy back.
  if (m_hasImage && aImage.index < m_appliedIndex) {
    return;
  }
  m_config = ConfigState(state::ConfigImageT(aImage));
  m_hasImage = true;
  m_changed = true;
  m_configIndex = std::max(m_configIndex, aImage.index);
  Advance(aImage.index);
}

bool
LeasedConfigView::ApplyDelta(std::uint64_t aIndex,
                             const state::CommandT& aCommand)
{
  if (!m_hasImage || aIndex <= m_appliedIndex) {
    return true;
  }
  const auto result = m_config.Apply(aIndex, aCommand);
  if (result.code != state::ResultCode::Ok) {
    return false;
  }
  m_changed = true;
  m_configIndex = aIndex;
  m_appliedIndex = aIndex;
  return true;
}

void
LeasedConfigView::Advance(std::uint64_t aIndex)
{
  m_appliedIndex = std::max(m_appliedIndex, aIndex);
  if (m_hasImage) {
    m_config.AdvanceIndex(m_appliedIndex);
  }
}

void
LeasedConfigView::Publish()
{
  if (!m_changed) {
    return;
  }
  m_changed = false;
  m_view.Publish(Publication<const ClusterView>::Pointer(
    new ClusterView(state::ConfigImageT(m_config.Image()))));
}

void
LeasedConfigView::ExtendLease(TimePoint aLeaseEnd)
{
  if (!m_hasImage) {
    return;
  }
  Publish();
  const Duration::rep end = aLeaseEnd.time_since_epoch().count();
  m_leaseEnd.store(std::max(m_leaseEnd.load(), end));
}

void
LeasedConfigView::UpdateInForceIndex(std::uint64_t aIndex)
{
  m_inForceIndex.store(std::max(m_inForceIndex.load(), aIndex));
}

void
LeasedConfigView::UpdateGatewayCount(TimePoint aNow, std::uint32_t aCount)
{
  if (aCount != 0) {
    m_gatewayCount = aCount;
    m_gatewayCountEnd = (aNow + kGatewayCountHold).time_since_epoch().count();
  }
}

std::uint32_t
LeasedConfigView::GatewayCount(TimePoint aNow) const
{
  return aNow.time_since_epoch().count() < m_gatewayCountEnd.load()
           ? m_gatewayCount.load()
           : 0;
}

boost::intrusive_ptr<const ClusterView>
LeasedConfigView::Read() const
{
  return m_view.Read();
}

bool
LeasedConfigView::HasLease(TimePoint aNow) const
{
  return aNow.time_since_epoch().count() < m_leaseEnd.load();
}

} // namespace parsleycove
