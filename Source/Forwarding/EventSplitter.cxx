// Splits a byte stream into complete events.
#include "Forwarding/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace parsleycove {

namespace {

constexpr std::string_view kIdField = "id:";

std::optional<std::uint64_t>
ReadId(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    std::string_view line = aEvent.substr(0, end);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      std::uint64_t id = 0;
      const auto [stop, error] =
        std::from_chars(line.data(), line.data() + line.size(), id);
      return error == std::errc{} ? std::optional(id) : std::nullopt;
    }
    aEvent = end == std::string_view::npos ? std::string_view{}
                                           : aEvent.substr(end + 1);
  }
  return std::nullopt;
}

constexpr std::size_t kLongestEndBytes = 4;
// Memory that is kept for the next events.
constexpr std::size_t kMaxSpareBytes = 64UL * 1024;

// Returns the length of the first event including its empty line, or 0 if the
// event is incomplete. The end of the event must not start before aFrom.
std::size_t
FindEnd(std::string_view aBytes, std::size_t aFrom)
{
  // One pass for both kinds of line ends: a search for each would read all
  // bytes to their end again for each event.
  for (auto place = aBytes.find('\n', aFrom); place != std::string_view::npos;
       place = aBytes.find('\n', place + 1)) {
    const std::string_view next = aBytes.substr(place + 1, 2);
    if (next.starts_with('\n')) {
      return place + 2;
    }
    if (next == "\r\n" && place > aFrom && aBytes[place - 1] == '\r') {
      return place + 3;
    }
  }
  return 0;
}

} // namespace

std::size_t
EventSplitter::ExtractEvents(std::string_view aBytes, std::string& aOut)
{
  m_pending.append(aBytes);
  std::string_view rest = m_pending;
  std::size_t taken = 0;
  const std::size_t from =
    m_searched - std::min(m_searched, kLongestEndBytes - 1);
  for (std::size_t end = FindEnd(rest, from); end != 0;
       end = FindEnd(rest, 0)) {
    const std::string_view event = rest.substr(0, end);
    const auto id = ReadId(event);
    rest.remove_prefix(end);
    if (id && m_lastId && *id <= *m_lastId) {
      continue;
    }
    m_lastId = id ? id : m_lastId;
    aOut.append(event);
    ++taken;
  }
  m_pending.erase(0, m_pending.size() - rest.size());
  m_searched = m_pending.size();
  if (taken != 0 && m_pending.capacity() - m_pending.size() > kMaxSpareBytes) {
    m_pending.shrink_to_fit();
  }
  return taken;
}

} // namespace parsleycove
