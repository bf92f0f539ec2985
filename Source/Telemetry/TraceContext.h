// W3C trace context: which trace and span a piece of work belongs to.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace parsleycove {

// Identifiers in lower-case hex, as the traceparent header carries them.
struct TraceContext
{
  std::string m_traceId; // 32 digits
  std::string m_spanId;  // 16 digits
  bool m_sampled = true;

  // Parses a traceparent header; nothing when it is malformed.
  static std::optional<TraceContext> Parse(std::string_view aHeader);
  // Starts a new trace.
  static TraceContext CreateRoot();

  // Returns a context of the same trace with a new span.
  TraceContext CreateChild() const;
  std::string ToHeader() const;
};

} // namespace parsleycove
