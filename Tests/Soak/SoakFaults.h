// The faults of a soak, drawn from its seed: several at once, in series, and
// overlapping with changes of the configuration and graceful stops.
#pragma once

#include "Soak/SoakScene.h"
#include "Soak/SoakStops.h"

namespace parsleycove {

class SoakFaults
{
public:
  explicit SoakFaults(SoakScene& aScene);

  void Begin();
  // Ends all faults and starts every process again.
  void End();
  int Count() const { return m_count; }

private:
  void InjectLater(Duration aTime);
  void InjectOne();
  void HarmEntry();
  void HarmControl();
  void HarmLink();
  void ReplaceBackend();
  // Some sound back ends fall silent, while other things happen.
  void Silence();
  // Entry VMs lose their links to all or half of the back ends, perhaps again
  // right after the links are back.
  void CutOff();
  void CutOffFor(std::size_t aEntry, Duration aLength, int aTimes);
  void CheckCallers();
  void RunSeries();
  void SendReloads();
  void SendChanges();
  void RestartEntry(std::size_t aVm, int aTimes);
  void SendSignals(std::size_t aVm);

  void Kill(std::size_t aEntry);
  void Freeze(std::size_t aEntry, Duration aLength);
  void Stop(std::size_t aEntry, int aSignal);
  void Reload(std::size_t aEntry);
  void ChangeConfiguration();
  std::size_t DrawEntry();

  SoakScene& m_scene;
  SoakStops m_stops;
  // A control VM must be well for some time before the next loses its disk.
  TimePoint m_controlsWellFrom{};
  int m_count = 0;
  bool m_hasEnded = false;
};

} // namespace parsleycove
