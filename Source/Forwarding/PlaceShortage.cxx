// Tells whether a listener turns away most of those who come.
#include "Forwarding/PlaceShortage.h"

namespace parsleycove {

void
PlaceShortage::Roll(TimePoint aNow, bool aIsBusy)
{
  if (m_windowBegin == TimePoint{}) {
    m_windowBegin = aNow;
  }
  // Further windows change nothing.
  for (int ended = 0;
       ended <= kWindowsToReturn && aNow - m_windowBegin >= kWindow;
       ++ended) {
    EndWindow(aIsBusy);
    m_windowBegin += kWindow;
  }
  if (aNow - m_windowBegin >= kWindow) {
    m_windowBegin = aNow;
  }
}

void
PlaceShortage::EndWindow(bool aIsBusy)
{
  const bool isShort = m_turnedAway != 0 && m_turnedAway >= m_taken;
  const bool isGood = m_turnedAway == 0 && !aIsBusy;
  m_shortWindows = isShort ? m_shortWindows + 1 : 0;
  m_goodWindows = isGood ? m_goodWindows + 1 : 0;
  if (m_shortWindows >= kWindowsToTurn) {
    m_isShort = true;
  } else if (m_goodWindows >= kWindowsToReturn) {
    m_isShort = false;
  }
  m_taken = 0;
  m_turnedAway = 0;
}

} // namespace parsleycove
