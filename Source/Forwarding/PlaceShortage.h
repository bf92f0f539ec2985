// Tells whether a listener turns away most of those who come.
#pragma once

#include <cstdint>

#include "Base/Clock.h"

namespace parsleycove {

// The time is divided into windows of a second, the interval of the balancer's
// checks. In a short window at least half of the new connections are turned
// away. After two short windows in a row the listener is short of places: one
// alone may be a burst that ends before the balancer would act on it. It is no
// longer short after kWindowsToReturn windows in a row without a connection
// turned away, and while a quarter of its places could be given to new ones:
// hysteresis keeps the VM from changing with every check, since it has no new
// connections only because it says that it is not ready.
//
// Invariant: used by one thread.
class PlaceShortage
{
public:
  static constexpr Duration kWindow = std::chrono::seconds(1);
  static constexpr int kWindowsToTurn = 2;
  static constexpr int kWindowsToReturn = 3;

  // aIsBusy: whether requests that are served leave less than a quarter of the
  // places.
  void CountTaken(TimePoint aNow, bool aIsBusy)
  {
    Roll(aNow, aIsBusy);
    ++m_taken;
  }
  void CountTurnedAway(TimePoint aNow, bool aIsBusy)
  {
    Roll(aNow, aIsBusy);
    ++m_turnedAway;
  }
  bool IsShort(TimePoint aNow, bool aIsBusy)
  {
    Roll(aNow, aIsBusy);
    return m_isShort;
  }

private:
  // Ends the windows that are over by aNow.
  void Roll(TimePoint aNow, bool aIsBusy);
  void EndWindow(bool aIsBusy);

  TimePoint m_windowBegin{};
  std::uint64_t m_taken = 0;
  std::uint64_t m_turnedAway = 0;
  int m_shortWindows = 0;
  int m_goodWindows = 0;
  bool m_isShort = false;
};

} // namespace parsleycove
