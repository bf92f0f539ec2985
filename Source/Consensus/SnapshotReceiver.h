// Order of the pieces of a snapshot that a follower receives.
#pragma once

#include <cstdint>

#include "ConsensusGenerated.h"

namespace parsleycove {

enum class PieceVerdict
{
  Next,      // the awaited piece
  Last,      // the awaited piece, and the whole is complete
  OutOfTurn, // another piece is awaited
  Busy,      // the whole is being installed
};

class SnapshotReceiver
{
public:
  PieceVerdict Take(const consensus::InstallSnapshotT& aPiece);
  std::uint64_t AwaitedOffset() const { return m_offset; }
  bool IsInstalling() const { return m_installing; }
  void Forget();

private:
  bool IsSame(const consensus::SnapshotMetaT& aMeta) const;

  consensus::SnapshotMetaT m_meta; // of the snapshot under way
  std::uint64_t m_offset = 0;      // every byte before it was received
  bool m_installing = false;       // the last piece was handed to the shell
};

} // namespace parsleycove
