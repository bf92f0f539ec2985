// Writes lines to a descriptor from a thread of its own, so that a reader that
// stalls costs lines, never time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "Base/Clock.h"
#include "Telemetry/LineSink.h"

namespace parsleycove {

struct LineWriterOptions
{
  // Lines that wait for the reader; further ones are dropped and counted. More
  // than a process writes at once, at 200 bytes a line.
  std::size_t m_maxBytes = 512UL * 1024;
  // How long the destructor waits for the reader.
  Duration m_stopLimit = std::chrono::milliseconds(500);
  // Makes the line that tells how many are missing in its place.
  std::function<std::string(std::uint64_t)> m_describeGap;
};

// Any thread may write. All lines that are queued go out in one call, in their
// order; the thread is woken once for them.
class LineWriter final : public LineSink
{
public:
  // Neither owns nor changes the descriptor, whose description other processes
  // may share. It stays open until the writer's thread has ended, which is
  // later than the writer where nobody reads.
  LineWriter(int aDescriptor, LineWriterOptions aOptions);
  ~LineWriter() override;
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  void Write(const std::string& aLine) override;
  // Waits until all lines are out; false if the limit ends first.
  bool Flush(Duration aLimit);
  // Lines that were dropped or that the system refused, since the start.
  std::uint64_t Dropped() const;

private:
  struct State;

  // Shared with the thread, which is left behind where a write never returns.
  std::shared_ptr<State> m_state;
  std::thread m_thread;
};

} // namespace parsleycove
