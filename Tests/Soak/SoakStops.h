// Graceful stops of a soak's entry VMs: each process must end within its stop
// grace, though callers keep their connections open, and is then started again.
#pragma once

#include <map>

#include <sys/types.h>

#include "Soak/SoakScene.h"

namespace parsleycove {

class SoakStops
{
public:
  explicit SoakStops(SoakScene& aScene);

  // Sends aSignal, by which a stop begins, and follows the process to its end.
  void Stop(std::size_t aEntry, int aSignal);
  // A process that is frozen may end so much later.
  void Extend(std::size_t aEntry, Duration aLength);

private:
  struct StopRun
  {
    pid_t m_process = 0;
    TimePoint m_begunAt{};
    Duration m_extension{};
    bool m_isLate = false;
  };

  void CheckLater();
  void Check();
  // Returns false once the process is gone.
  bool Follow(std::size_t aEntry, StopRun& aStop);

  SoakScene& m_scene;
  std::map<std::size_t, StopRun> m_stops;
};

} // namespace parsleycove
