// A seeded series of faults against a fleet of real processes, while callers,
// back ends and an operator check what they are promised.
#pragma once

#include <functional>

#include "Soak/SoakFaults.h"
#include "Soak/SoakScene.h"

namespace parsleycove {

class Soak
{
public:
  explicit Soak(SoakOptions aOptions);

  // Returns whether no promise was broken.
  bool Run();

private:
  bool RunUntil(const std::function<bool()>& aCondition, Duration aPatience);
  // Calls aTask at this interval while m_isLoaded.
  void Repeat(Duration aInterval, std::function<void()> aTask);
  void Start();
  bool IsServing();
  void CheckConfiguration();
  // Half of the back ends name limits until the faults end.
  void NameLimits();
  bool Report();

  SoakScene m_scene;
  SoakFaults m_faults;
  bool m_isLoaded = false;
};

} // namespace parsleycove
