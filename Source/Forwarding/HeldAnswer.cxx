// Counts what one call holds of an answer that was not yet passed on.
#include "Forwarding/HeldAnswer.h"

namespace parsleycove {

bool
HeldAnswer::Hold(std::size_t aBytes)
{
  return !m_isRefused && Budget().Hold(*this, aBytes, BootClock::now());
}

void
HeldAnswer::OnRefused()
{
  m_isRefused = true;
  m_onRefused();
}

} // namespace parsleycove
