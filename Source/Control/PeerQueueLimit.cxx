// Limits the bytes that wait to be sent to a peer that takes them slowly.
#include "Control/PeerQueueLimit.h"

namespace parsleycove {

PeerQueueLimit::PeerQueueLimit(std::size_t aMaxBytes)
  : m_maxBytes(aMaxBytes)
{
}

bool
PeerQueueLimit::Admit(std::size_t aQueuedBytes,
                      consensus::PeerMessageT& aMessage)
{
  if (aQueuedBytes <= m_maxBytes) {
    return true;
  }
  if (aMessage.body.AsInstallSnapshot() != nullptr) {
    ++m_heldBack;
    return false;
  }
  auto* append = aMessage.body.AsAppend();
  if (append != nullptr && !append->entries.empty()) {
    ++m_heldBack;
    append->entries.clear();
  }
  return true;
}

} // namespace parsleycove
