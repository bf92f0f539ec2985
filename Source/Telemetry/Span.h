// One hop of a request, as traces show it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace parsleycove {

struct SpanAttribute
{
  std::string m_key;
  std::string m_value;
};

// A finished span.
struct Span
{
  std::string m_traceId;
  std::string m_spanId;
  std::string m_parentId; // empty for a root
  std::string m_name;
  std::uint64_t m_startUnixUs = 0;
  std::uint64_t m_durationUs = 0;
  bool m_failed = false;
  std::vector<SpanAttribute> m_attributes;
};

} // namespace parsleycove
