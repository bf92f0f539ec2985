// Keeps the newest spans of this process and writes them to a file.
#include "Telemetry/SpanStore.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include <boost/json.hpp>

namespace parsleycove {

namespace json = boost::json;

namespace {

json::object
MakeAttribute(std::string_view aKey, std::string_view aValue)
{
  json::object value{ { "stringValue", aValue } };
  return { { "key", aKey }, { "value", std::move(value) } };
}

constexpr int kOtlpStatusOk = 1;
constexpr int kOtlpStatusError = 2;
constexpr std::uint64_t kNanosecondsPerUs = 1000;

json::object
MakeOtlpSpan(const Span& aSpan)
{
  const std::uint64_t start = aSpan.m_startUnixUs * kNanosecondsPerUs;
  const std::uint64_t end = start + aSpan.m_durationUs * kNanosecondsPerUs;
  json::array attributes;
  for (const SpanAttribute& attribute : aSpan.m_attributes) {
    attributes.push_back(MakeAttribute(attribute.m_key, attribute.m_value));
  }
  json::object span{ { "traceId", aSpan.m_traceId },
                     { "spanId", aSpan.m_spanId },
                     { "name", aSpan.m_name },
                     { "startTimeUnixNano", std::to_string(start) },
                     { "endTimeUnixNano", std::to_string(end) } };
  if (!aSpan.m_parentId.empty()) {
    span["parentSpanId"] = aSpan.m_parentId;
  }
  const int status = aSpan.m_failed ? kOtlpStatusError : kOtlpStatusOk;
  span["status"] = json::object{ { "code", status } };
  span["attributes"] = std::move(attributes);
  return span;
}

} // namespace

SpanStore::SpanStore(std::string aVm,
                     const std::string& aPath,
                     std::size_t aCapacity)
  : m_vm(std::move(aVm))
  , m_shardCapacity(std::max<std::size_t>(1, aCapacity / kShards))
  , m_shards(kShards)
{
  if (!aPath.empty()) {
    m_file.open(aPath, std::ios::app);
  }
}

SpanStore::Shard&
SpanStore::ShardOf(std::string_view aTraceId)
{
  return m_shards[std::hash<std::string_view>{}(aTraceId) % kShards];
}

const SpanStore::Shard&
SpanStore::ShardOf(std::string_view aTraceId) const
{
  return m_shards[std::hash<std::string_view>{}(aTraceId) % kShards];
}

void
SpanStore::Add(std::vector<Span> aSpans)
{
  if (aSpans.empty()) {
    return;
  }
  if (m_file.is_open()) {
    WriteToFile(aSpans);
  }
  Shard& shard = ShardOf(aSpans.front().m_traceId);
  const std::lock_guard guard(shard.m_mutex);
  std::move(aSpans.begin(), aSpans.end(), std::back_inserter(shard.m_spans));
  while (shard.m_spans.size() > m_shardCapacity) {
    shard.m_spans.pop_front();
  }
}

std::vector<Span>
SpanStore::Find(std::string_view aTraceId) const
{
  const Shard& shard = ShardOf(aTraceId);
  const std::lock_guard guard(shard.m_mutex);
  std::vector<Span> found;
  for (const Span& span : shard.m_spans) {
    if (span.m_traceId == aTraceId) {
      found.push_back(span);
    }
  }
  return found;
}

void
SpanStore::WriteToFile(const std::vector<Span>& aSpans)
{
  json::array spans;
  for (const Span& span : aSpans) {
    spans.push_back(MakeOtlpSpan(span));
  }
  json::array attributes{ MakeAttribute("service.name", "parsleycoved"),
                          MakeAttribute("service.instance.id", m_vm) };
  json::object resource{ { "attributes", std::move(attributes) } };
  json::object scope{ { "spans", std::move(spans) } };
  json::object resourceSpans{ { "resource", std::move(resource) },
                              { "scopeSpans",
                                json::array{ std::move(scope) } } };
  json::object line{ { "resourceSpans",
                       json::array{ std::move(resourceSpans) } } };
  const std::lock_guard guard(m_fileMutex);
  m_file << json::serialize(line) << '\n' << std::flush;
}

} // namespace parsleycove
