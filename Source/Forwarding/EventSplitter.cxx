// Cuts a stream of bytes into whole events.
#include "Forwarding/EventSplitter.h"

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

// The length of the first event with its empty line; 0: it has not ended.
std::size_t
FindEnd(std::string_view aBytes)
{
  const auto plain = aBytes.find("\n\n");
  const auto carriage = aBytes.find("\r\n\r\n");
  if (carriage < plain) {
    return carriage + 4;
  }
  return plain == std::string_view::npos ? 0 : plain + 2;
}

} // namespace

std::size_t
EventSplitter::ExtractEvents(std::string_view aBytes, std::string& aOut)
{
  m_pending.append(aBytes);
  std::string_view rest = m_pending;
  std::size_t taken = 0;
  for (std::size_t end = FindEnd(rest); end != 0; end = FindEnd(rest)) {
    const std::string_view event = rest.substr(0, end);
    const auto id = ReadId(event);
    m_hasMissingEvent =
      m_hasMissingEvent || (id && m_lastId && *id > *m_lastId + 1);
    if (m_hasMissingEvent) {
      break;
    }
    rest.remove_prefix(end);
    if (id && m_lastId && *id <= *m_lastId) {
      continue;
    }
    m_lastId = id ? id : m_lastId;
    aOut.append(event);
    ++taken;
  }
  m_pending.erase(0, m_pending.size() - rest.size());
  return taken;
}

} // namespace parsleycove
