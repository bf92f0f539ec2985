// Collects the spans of one request.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "Base/Clock.h"
#include "Telemetry/Span.h"
#include "Telemetry/TraceContext.h"

namespace parsleycove {

class SpanStore;

// A span that has begun.
struct OpenSpan
{
  TraceContext m_context;
  std::string m_parentId;
  std::string m_name;
  TimePoint m_start{};
  std::uint64_t m_startUnixUs = 0;
};

// The spans of a request; handed to the store when the request ends.
//
// Invariant: used from one thread only.
class RequestTrace
{
public:
  // Begins the root span; the header may be empty or malformed.
  RequestTrace(SpanStore& aStore, std::string_view aTraceParent);
  ~RequestTrace();
  RequestTrace(const RequestTrace&) = delete;
  RequestTrace& operator=(const RequestTrace&) = delete;

  const TraceContext& Root() const { return m_root.m_context; }
  void RenameRoot(std::string aName) { m_root.m_name = std::move(aName); }
  void AddRootAttribute(std::string aKey, std::string aValue);
  void FailRoot() { m_rootFailed = true; }

  OpenSpan StartSpan(std::string aName) const;
  void EndSpan(const OpenSpan& aSpan,
               bool aFailed = false,
               std::vector<SpanAttribute> aAttributes = {});

private:
  // A long answer has a span for each stage and token; more than this are
  // dropped and counted in an attribute of the root.
  static constexpr std::size_t kMaxSpans = 2048;

  SpanStore& m_store;
  OpenSpan m_root;
  std::vector<SpanAttribute> m_rootAttributes;
  bool m_rootFailed = false;
  std::size_t m_dropped = 0;
  std::vector<Span> m_spans;
};

} // namespace parsleycove
