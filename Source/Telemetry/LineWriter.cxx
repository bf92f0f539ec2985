// Writes lines to a descriptor from a thread of its own, so that a reader that
// stalls costs lines, never time.
#include "Telemetry/LineWriter.h"

#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <string_view>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace parsleycove {

namespace {

// Returns false if the system refuses the bytes.
bool
WriteAll(int aDescriptor, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t written = write(aDescriptor, aBytes.data(), aBytes.size());
    if (written >= 0) {
      aBytes.remove_prefix(static_cast<std::size_t>(written));
    } else if (errno == EAGAIN) {
      pollfd ready{ aDescriptor, POLLOUT, 0 };
      poll(&ready, 1, -1);
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

// A reader that has gone must not end the process.
void
BlockBrokenPipe()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace

struct LineWriter::State
{
  State(int aDescriptor, LineWriterOptions aOptions)
    : m_descriptor(aDescriptor)
    , m_options(std::move(aOptions))
  {
  }

  void Run();
  // Queues or drops a line. Returns whether to wake the thread, once the mutex
  // is free: woken earlier, the thread would have to wait for it.
  bool Queue(const std::string& aLine);
  // Moves what is queued to m_batch, with a line in place of what is missing.
  // Returns the number of queued lines.
  std::uint64_t TakeQueued();

  const int m_descriptor;
  const LineWriterOptions m_options;

  std::mutex m_mutex;
  std::condition_variable m_wake;  // for the thread
  std::condition_variable m_empty; // all lines are out, or the thread has ended
  std::string m_queued;
  std::uint64_t m_queuedLines = 0;
  std::uint64_t m_missing = 0; // lines dropped behind m_queued
  std::uint64_t m_refused = 0; // lines refused before m_queued
  std::uint64_t m_dropped = 0;
  bool m_isWaiting = false; // the thread has to be woken
  bool m_isWriting = false;
  bool m_isStopping = false;
  bool m_hasEnded = false;

  std::string m_batch; // the thread's own
};

void
LineWriter::State::Run()
{
  BlockBrokenPipe();
  std::unique_lock lock(m_mutex);
  for (;;) {
    m_isWriting = false;
    if (m_queued.empty()) {
      m_empty.notify_all();
      m_isWaiting = true;
      m_wake.wait(lock, [this] { return !m_queued.empty() || m_isStopping; });
      m_isWaiting = false;
    }
    if (m_queued.empty()) {
      break;
    }
    const std::uint64_t lines = TakeQueued();
    m_isWriting = true;
    lock.unlock();
    const bool done = WriteAll(m_descriptor, m_batch);
    lock.lock();
    if (!done) {
      m_refused += lines;
      m_dropped += lines;
    }
  }
  m_hasEnded = true;
  m_empty.notify_all();
}

std::uint64_t
LineWriter::State::TakeQueued()
{
  m_batch.clear();
  if (const auto refused = std::exchange(m_refused, 0); refused != 0) {
    m_batch = m_options.m_describeGap(refused) + '\n' + m_queued;
    m_queued.clear();
  } else {
    std::swap(m_batch, m_queued);
  }
  if (const auto missing = std::exchange(m_missing, 0); missing != 0) {
    m_batch += m_options.m_describeGap(missing) + '\n';
  }
  return std::exchange(m_queuedLines, 0);
}

bool
LineWriter::State::Queue(const std::string& aLine)
{
  const std::lock_guard guard(m_mutex);
  // What follows a dropped line is dropped, too, until the reader is back: the
  // gap has one place.
  const bool isFull = m_queued.size() + aLine.size() >= m_options.m_maxBytes;
  if (m_missing != 0 || isFull) {
    ++m_missing;
    ++m_dropped;
    return false;
  }
  m_queued.append(aLine).push_back('\n');
  ++m_queuedLines;
  return std::exchange(m_isWaiting, false);
}

LineWriter::LineWriter(int aDescriptor, LineWriterOptions aOptions)
  : m_state(std::make_shared<State>(aDescriptor, std::move(aOptions)))
  , m_thread([state = m_state] { state->Run(); })
{
}

LineWriter::~LineWriter()
{
  std::unique_lock lock(m_state->m_mutex);
  m_state->m_isStopping = true;
  m_state->m_wake.notify_one();
  const bool hasEnded = m_state->m_empty.wait_for(
    lock, m_state->m_options.m_stopLimit, [&] { return m_state->m_hasEnded; });
  lock.unlock();
  if (hasEnded) {
    m_thread.join();
  } else {
    m_thread.detach();
  }
}

void
LineWriter::Write(const std::string& aLine)
{
  if (m_state->Queue(aLine)) {
    m_state->m_wake.notify_one();
  }
}

bool
LineWriter::Flush(Duration aLimit)
{
  std::unique_lock lock(m_state->m_mutex);
  return m_state->m_empty.wait_for(lock, aLimit, [&] {
    return m_state->m_queued.empty() && !m_state->m_isWriting;
  });
}

std::uint64_t
LineWriter::Dropped() const
{
  const std::lock_guard guard(m_state->m_mutex);
  return m_state->m_dropped;
}

} // namespace parsleycove
