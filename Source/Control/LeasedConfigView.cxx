// The gateway's copy of the configuration and the right to work from it.
#include "Control/LeasedConfigView.h"

#include <algorithm>

namespace parsleycove {

ViewKeeper::ViewKeeper()
  : m_view(Publication<const ClusterView>::Pointer(
      new ClusterView(state::ConfigImageT{})))
{
}

void
ViewKeeper::TakeImage(const state::ConfigImageT& aImage)
{
  // An image of a replica that lags would take this gateway back.
  if (m_hasImage && aImage.index < m_applied) {
    return;
  }
  m_config = ConfigState(state::ConfigImageT(aImage));
  m_hasImage = true;
  m_changed = true;
  m_configIndex = std::max(m_configIndex, aImage.index);
  Advance(aImage.index);
}

bool
ViewKeeper::TakeDelta(std::uint64_t aIndex, const state::CommandT& aCommand)
{
  if (!m_hasImage || aIndex <= m_applied) {
    return true;
  }
  const auto result = m_config.Apply(aIndex, aCommand);
  if (result.code != state::ResultCode::Ok) {
    return false;
  }
  m_changed = true;
  m_configIndex = aIndex;
  m_applied = aIndex;
  return true;
}

void
ViewKeeper::Advance(std::uint64_t aIndex)
{
  m_applied = std::max(m_applied, aIndex);
  if (m_hasImage) {
    m_config.AdvanceIndex(m_applied);
  }
}

void
ViewKeeper::Publish()
{
  if (!m_changed) {
    return;
  }
  m_changed = false;
  m_view.Publish(Publication<const ClusterView>::Pointer(
    new ClusterView(state::ConfigImageT(m_config.Image()))));
}

void
ViewKeeper::ExtendLease(TimePoint aLeaseEnd)
{
  if (!m_hasImage) {
    return;
  }
  Publish();
  const Duration::rep end = aLeaseEnd.time_since_epoch().count();
  m_leaseEnd.store(std::max(m_leaseEnd.load(), end));
}

void
ViewKeeper::NoteInForce(std::uint64_t aIndex)
{
  m_inForce.store(std::max(m_inForce.load(), aIndex));
}

boost::intrusive_ptr<const ClusterView>
ViewKeeper::Read() const
{
  return m_view.Read();
}

bool
ViewKeeper::HasLease(TimePoint aNow) const
{
  return aNow.time_since_epoch().count() < m_leaseEnd.load();
}

} // namespace parsleycove
