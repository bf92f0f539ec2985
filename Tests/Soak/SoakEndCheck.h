// Checks how requests ended that no fault excuses: a back end that was only
// silent is none.
#pragma once

#include "Soak/SoakLedger.h"

namespace parsleycove {

struct SoakEndCounts
{
  // Requests whose back ends, entry VM and link were sound all the time.
  int m_sound = 0;
  // Those of them with a back end that was silent in the meantime.
  int m_silent = 0;
  // Those of the silent ones that were taken by a VM under a graceful stop.
  int m_silentInStop = 0;
};

// Records a breach for each request that reached a back end and that got
// neither a complete answer nor a refusal, though its entry VM was neither
// frozen nor killed and none of its links and back ends was harmed. A back end
// that was harmed shortly before counts as harmed. Requests that ended at their
// own deadline are not judged.
SoakEndCounts
CheckEnds(SoakLedger& aLedger);

} // namespace parsleycove
