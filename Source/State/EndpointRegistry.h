// Rules of the endpoint registry.
#pragma once

#include "StateGenerated.h"

namespace parsleycove {

// Each changes aImage and sets code and text of aResult.
//
// Words about an older incarnation than the listed one change nothing. A
// leaving endpoint stays listed as such until nothing that it said before can
// still arrive, and only a higher incarnation makes it ready again.
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
// Returns the incarnation by which a DropEndpoints command names the listed
// endpoint. It differs once the endpoint has left: a command that was proposed
// for a lease that ran out before must not make the registry forget that.
std::uint64_t
DropMark(const state::EndpointT& aListed);
// Drops the listed ones that the command names by their DropMark, with their
// orders.
void
ApplyDrop(state::ConfigImageT& aImage,
          const state::DropEndpointsT& aCommand,
          state::CommandResultT& aResult);

} // namespace parsleycove
