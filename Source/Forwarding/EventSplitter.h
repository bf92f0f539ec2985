// Splits a byte stream into complete events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace parsleycove {

// An event ends with an empty line; its id line holds its sequence number.
//
// Ids increase from event to event, by any number.
//
// Invariant: m_pending holds no complete event after ExtractEvents.
class EventSplitter
{
public:
  // Events with ids up to aAfter were delivered before and are skipped.
  explicit EventSplitter(std::optional<std::uint64_t> aAfter = std::nullopt)
    : m_lastId(aAfter)
  {
  }

  // Appends complete events to aOut and returns how many were appended. Skips
  // events whose id does not increase, since a resumed attempt may send events
  // again that were delivered before.
  std::size_t ExtractEvents(std::string_view aBytes, std::string& aOut);

  // Returns true if bytes of an incomplete event are pending.
  bool HasPartialEvent() const { return !m_pending.empty(); }
  std::size_t PendingBytes() const { return m_pending.size(); }
  // Must be called when an attempt broke: the rest of its event will not
  // follow.
  void DiscardPartialEvent()
  {
    m_pending.clear();
    m_searched = 0;
  }
  // Removes the bytes of an incomplete event and returns them.
  std::string TakePartialEvent()
  {
    m_searched = 0;
    return std::exchange(m_pending, {});
  }
  // Puts back the bytes that TakePartialEvent returned. No event may have been
  // extracted in between.
  void RestorePartialEvent(std::string aBytes)
  {
    m_pending = std::move(aBytes);
    m_searched = 0;
  }
  std::optional<std::uint64_t> LastId() const { return m_lastId; }

private:
  std::string m_pending;
  // Bytes of m_pending in which no event ends.
  std::size_t m_searched = 0;
  std::optional<std::uint64_t> m_lastId;
};

} // namespace parsleycove
