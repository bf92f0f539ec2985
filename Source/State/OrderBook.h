// Rules of the orders to engines.
#pragma once

#include <cstddef>
#include <cstdint>

#include "StateGenerated.h"

namespace parsleycove {

inline constexpr std::size_t kMaxOrdersPerEndpoint = 16;

// Each changes aImage and sets code and text of aResult.
//
// An endpoint has at most one order of each kind (adapters: one for each), and
// a newer one takes the place of the older. aIndex becomes the fencing
// sequence.
void
ApplyIssue(state::ConfigImageT& aImage,
           std::uint64_t aIndex,
           const state::IssueOrderT& aCommand,
           state::CommandResultT& aResult);
// Marks an order as done; one that was superseded stays away.
void
ApplyFinish(state::ConfigImageT& aImage,
            const state::FinishOrderT& aCommand,
            state::CommandResultT& aResult);

} // namespace parsleycove
