// Cuts a stream of bytes into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace parsleycove {

// An event ends with an empty line; its id line gives its number.
//
// Invariant: without a gap m_pending holds no whole event after ExtractEvents.
class EventSplitter
{
public:
  // Events up to this number have been delivered and are left out.
  explicit EventSplitter(std::optional<std::uint64_t> aAfter = std::nullopt)
    : m_lastId(aAfter)
  {
  }

  // Appends the whole events to aOut and returns how many there were. Events
  // that were delivered before, as a resumed run may repeat them, are skipped.
  // Nothing is taken from the first gap on.
  std::size_t ExtractEvents(std::string_view aBytes, std::string& aOut);

  // A later event than the next one came: something is missing.
  bool HasMissingEvent() const { return m_hasMissingEvent; }
  // Bytes of an event that has not ended.
  bool HasPartialEvent() const { return !m_pending.empty(); }
  std::size_t PendingBytes() const { return m_pending.size(); }
  // A run broke off: what it left of an event is of no use.
  void DiscardPartialEvent()
  {
    m_pending.clear();
    m_hasMissingEvent = false;
  }
  std::optional<std::uint64_t> LastId() const { return m_lastId; }

private:
  std::string m_pending;
  std::optional<std::uint64_t> m_lastId;
  bool m_hasMissingEvent = false;
};

} // namespace parsleycove
