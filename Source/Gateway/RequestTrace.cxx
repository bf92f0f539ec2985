// Collects the spans of one request.
#include "Gateway/RequestTrace.h"

#include "Telemetry/SpanStore.h"

namespace parsleycove {

namespace {

std::uint64_t
UnixUs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::uint64_t
MicrosecondsSince(TimePoint aStart)
{
  const auto spent = BootClock::now() - aStart;
  return std::chrono::duration_cast<std::chrono::microseconds>(spent).count();
}

OpenSpan
OpenRoot(std::string_view aTraceParent)
{
  OpenSpan root;
  if (const auto parent = TraceContext::Parse(aTraceParent)) {
    root.m_context = parent->CreateChild();
    root.m_parentId = parent->m_spanId;
  } else {
    root.m_context = TraceContext::CreateRoot();
  }
  root.m_name = "request";
  root.m_start = BootClock::now();
  root.m_startUnixUs = UnixUs();
  return root;
}

} // namespace

RequestTrace::RequestTrace(SpanStore& aStore, std::string_view aTraceParent)
  : m_store(aStore)
  , m_root(OpenRoot(aTraceParent))
{
}

RequestTrace::~RequestTrace()
{
  if (!m_root.m_context.m_sampled) {
    return;
  }
  if (m_dropped > 0) {
    AddRootAttribute("dropped_spans", std::to_string(m_dropped));
  }
  // The root always has its place, whatever was dropped.
  m_spans.push_back({ m_root.m_context.m_traceId,
                      m_root.m_context.m_spanId,
                      m_root.m_parentId,
                      m_root.m_name,
                      m_root.m_startUnixUs,
                      MicrosecondsSince(m_root.m_start),
                      m_rootFailed,
                      std::move(m_rootAttributes) });
  m_store.Add(std::move(m_spans));
}

void
RequestTrace::AddRootAttribute(std::string aKey, std::string aValue)
{
  m_rootAttributes.push_back({ std::move(aKey), std::move(aValue) });
}

OpenSpan
RequestTrace::StartSpan(std::string aName) const
{
  return { m_root.m_context.CreateChild(),
           m_root.m_context.m_spanId,
           std::move(aName),
           BootClock::now(),
           UnixUs() };
}

void
RequestTrace::EndSpan(const OpenSpan& aSpan,
                      bool aFailed,
                      std::vector<SpanAttribute> aAttributes)
{
  if (!m_root.m_context.m_sampled) {
    return;
  }
  if (m_spans.size() >= kMaxSpans) {
    ++m_dropped;
    return;
  }
  m_spans.push_back({ aSpan.m_context.m_traceId,
                      aSpan.m_context.m_spanId,
                      aSpan.m_parentId,
                      aSpan.m_name,
                      aSpan.m_startUnixUs,
                      MicrosecondsSince(aSpan.m_start),
                      aFailed,
                      std::move(aAttributes) });
}

} // namespace parsleycove
