// Rules of the endpoint registry.
#pragma once

#include "StateGenerated.h"

namespace parsleycove {

// Each changes aImage and sets code and text of aResult.
//
// Words about an older incarnation than the listed one change nothing. A
// leaving endpoint stays listed as such until it is dropped, and only a higher
// incarnation makes it ready again.
void
ApplyAnnounce(state::ConfigImageT& aImage,
              const state::AnnounceEndpointT& aCommand,
              state::CommandResultT& aResult);
void
ApplyLeave(state::ConfigImageT& aImage,
           const state::LeaveEndpointT& aCommand,
           state::CommandResultT& aResult);
// Marks the listed one of this incarnation. It stays listed: only its lease, or
// its leaving, ends it.
void
ApplySuspect(state::ConfigImageT& aImage,
             const state::SuspectEndpointT& aCommand,
             state::CommandResultT& aResult);
// Drops the listed ones of the given incarnations, with their orders.
void
ApplyDrop(state::ConfigImageT& aImage,
          const state::DropEndpointsT& aCommand,
          state::CommandResultT& aResult);

} // namespace parsleycove
