// Reads a data folder and decides whether it can be trusted.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Store/FolderScan.h"
#include "Store/LogReplay.h"
#include "Store/SegmentScan.h"
#include "Store/StoreContent.h"

namespace parsleycove {

class StoreLoader
{
public:
  StoreLoader(Files& aFiles,
              const std::string& aFolder,
              SegmentWriter& aWriter,
              StoreReason& aReason);

  // Returns nothing on damage, or when the disk refuses a call. Reads and
  // checks everything before it writes, so that a full disk is never taken for
  // a damaged one; then removes what a crash left half done.
  std::optional<StoreContent> Load();

private:
  bool LoadIdentity();
  bool LoadSnapshot();
  bool LoadSegments();
  bool LoadSegment(std::uint64_t aNumber, bool aIsLast);
  // Whether the first sync of a folder that forms a cluster was torn: only the
  // first term came through, and nothing of it was acknowledged.
  bool IsTornBootstrap(const SegmentScan& aScan) const;
  bool CheckIdentity();
  bool RemoveTemporaries();
  // Removes a last segment without records, or writes the last segment anew.
  bool RepairTail();
  bool RemoveOldSnapshots();
  bool Refuse(const std::string& aName, const std::string& aWhat);

  Files& m_files;
  const std::string& m_folder;
  SegmentWriter& m_writer;
  StoreReason& m_reason;
  FolderScan m_scan;
  LogReplay m_replay;
  std::vector<std::uint8_t> m_tail; // valid bytes of the last segment
  std::string m_emptySegment;       // last file, without records; empty: none
  StoreContent m_content;
};

} // namespace parsleycove
