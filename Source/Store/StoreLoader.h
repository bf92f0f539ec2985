// Reads a data folder and decides whether it can be trusted.
#pragma once

#include <cstdint>
#include <string>

#include "Store/FolderScan.h"
#include "Store/LogReplay.h"
#include "Store/StoreContent.h"

namespace parsleycove {

class StoreLoader
{
public:
  StoreLoader(Files& aFiles,
              const std::string& aFolder,
              SegmentWriter& aWriter,
              StoreReason& aReason);

  // Returns nothing on damage. Removes what a crash left half done.
  std::optional<StoreContent> Load();

private:
  bool LoadIdentity();
  bool LoadSnapshot();
  bool LoadSegments();
  bool LoadSegment(std::uint64_t aNumber, bool aIsLast);
  bool CheckIdentity();
  bool RemoveTemporaries();
  bool RemoveOldSnapshots();
  bool Refuse(const std::string& aName, const std::string& aWhat);

  Files& m_files;
  const std::string& m_folder;
  SegmentWriter& m_writer;
  StoreReason& m_reason;
  FolderScan m_scan;
  LogReplay m_replay;
  StoreContent m_content;
};

} // namespace parsleycove
