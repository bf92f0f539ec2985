// First answers to configuration changes, by change id.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "StateGenerated.h"

namespace parsleycove {

// Remembers the answers to the last changes, accepted or not. The text of an
// answer is cut to kMaxAnswerTextBytes: it may quote names of any length.
class ChangeHistory
{
public:
  static constexpr std::size_t kMaxAnswerTextBytes = 512;

  explicit ChangeHistory(std::size_t aMaxRecords);

  // The first answer to a resent change, an Invalid result for a change id
  // that was used with another body, or nothing for a new change id.
  std::optional<state::CommandResultT> Answer(
    const std::string& aChangeId,
    const std::string& aFingerprint) const;
  void Remember(state::ChangeRecordT aRecord);
  // False when the id is there already.
  bool Restore(state::ChangeRecordT aRecord);

  const std::deque<state::ChangeRecordT>& Records() const { return m_records; }
  // Memory of the records, in bytes.
  std::size_t CountBytes() const { return m_bytes; }

private:
  std::size_t m_maxRecords;
  std::deque<state::ChangeRecordT> m_records; // oldest first
  std::uint64_t m_dropped = 0; // records that have left the front
  std::size_t m_bytes = 0;
  // Invariant: position of each record, counted from the first ever kept.
  std::unordered_map<std::string, std::uint64_t> m_positions;
};

// Identifies what a change asks for, without the time of sending.
std::string
FingerprintOf(const state::ApplyChangeT& aCommand);

} // namespace parsleycove
