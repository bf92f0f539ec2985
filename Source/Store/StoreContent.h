// What a data folder holds, as read at the start.
#pragma once

#include <optional>

#include "Consensus/Replica.h"
#include "Store/IdentityFile.h"
#include "Store/SegmentWriter.h"
#include "Store/SnapshotFile.h"

namespace parsleycove {

struct StoreContent
{
  std::optional<StoreIdentity> m_identity; // none: a new folder
  std::optional<SnapshotFile> m_snapshot;  // the newest
  RestoredLog m_log;
  // The log's records end before the snapshot or contradict it.
  bool m_mustReset = false;
};

} // namespace parsleycove
