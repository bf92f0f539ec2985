// Keeps the newest spans of this process and writes them to a file.
#pragma once

#include <cstddef>
#include <deque>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "Telemetry/Span.h"

namespace parsleycove {

// A bounded ring of spans, with an optional file of OTLP JSON lines.
//
// Spans are added when a request has ended, never on its way, and the lock is
// split over shards by trace.
class SpanStore
{
public:
  // With an empty path nothing is written.
  SpanStore(std::string aVm, const std::string& aPath, std::size_t aCapacity);

  // Adds all spans of one request at once.
  void Add(std::vector<Span> aSpans);
  std::vector<Span> Find(std::string_view aTraceId) const;
  const std::string& Vm() const { return m_vm; }

private:
  static constexpr std::size_t kShards = 16;
  struct Shard
  {
    mutable std::mutex m_mutex;
    std::deque<Span> m_spans; // oldest first
  };

  void WriteToFile(const std::vector<Span>& aSpans);
  Shard& ShardOf(std::string_view aTraceId);
  const Shard& ShardOf(std::string_view aTraceId) const;

  const std::string m_vm;
  const std::size_t m_shardCapacity;
  std::vector<Shard> m_shards;
  std::mutex m_fileMutex;
  std::ofstream m_file;
};

} // namespace parsleycove
