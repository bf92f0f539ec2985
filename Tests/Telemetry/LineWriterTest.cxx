// Tests of lines that wait for their reader.
#include "Telemetry/LineWriter.h"

#include <string>
#include <thread>

#include <fcntl.h>
#include <unistd.h>

#include "Telemetry/DecisionLog.h"
#include "Telemetry/Logging.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr int kLines = 20'000;
constexpr std::size_t kMaxBytes = 64UL * 1024;

LineWriterOptions
MakeOptions(std::size_t aMaxBytes)
{
  LineWriterOptions options;
  options.m_maxBytes = aMaxBytes;
  options.m_stopLimit = std::chrono::milliseconds(1);
  options.m_describeGap = [](std::uint64_t aCount) {
    return "missing " + std::to_string(aCount);
  };
  return options;
}

std::string
MakeLine(int aNumber)
{
  return "line " + std::to_string(aNumber);
}

// A pipe that is read only where a test does so.
class LinePipe
{
public:
  LinePipe() { CHECK_EQUAL(0, pipe2(m_ends, O_CLOEXEC)); }
  ~LinePipe()
  {
    CloseReader();
    close(m_ends[1]);
  }
  LinePipe(const LinePipe&) = delete;
  LinePipe& operator=(const LinePipe&) = delete;

  int Writer() const { return m_ends[1]; }
  std::size_t Capacity() const
  {
    return static_cast<std::size_t>(fcntl(m_ends[1], F_GETPIPE_SZ));
  }
  // Waits for the next byte.
  void ReadByte()
  {
    char byte = 0;
    CHECK_EQUAL(1, read(m_ends[0], &byte, 1));
    m_text.push_back(byte);
  }
  void CloseReader()
  {
    if (m_ends[0] >= 0) {
      close(m_ends[0]);
      m_ends[0] = -1;
    }
  }
  // Waits for the next line; returns it without its end.
  std::string ReadLine()
  {
    std::size_t end = m_text.find('\n', m_from);
    while (end == std::string::npos) {
      char bytes[4096];
      const ssize_t size = read(m_ends[0], bytes, sizeof(bytes));
      CHECK(size > 0);
      m_text.erase(0, m_from).append(bytes, static_cast<std::size_t>(size));
      m_from = 0;
      end = m_text.find('\n');
    }
    std::string line = m_text.substr(m_from, end - m_from);
    m_from = end + 1;
    return line;
  }

private:
  int m_ends[2] = { -1, -1 };
  std::string m_text;
  std::size_t m_from = 0;
};

// Blocks the writer's thread in a line that does not fit into the pipe.
void
BlockWriter(LinePipe& aPipe, LineWriter& aWriter)
{
  aWriter.Write(std::string(aPipe.Capacity() + 1, 'x'));
  aPipe.ReadByte();
}

void
WriteLines(LineWriter& aWriter, int aFrom, int aTo)
{
  for (int i = aFrom; i < aTo; ++i) {
    aWriter.Write(MakeLine(i));
  }
}

// Reads lines in order from aNext on up to a gap of aMissing lines. Returns the
// number of the line behind the gap.
std::uint64_t
ReadToGap(LinePipe& aPipe, int aNext, std::uint64_t aMissing)
{
  std::string line = aPipe.ReadLine();
  for (; line == MakeLine(aNext); line = aPipe.ReadLine()) {
    ++aNext;
  }
  STRCMP_EQUAL(("missing " + std::to_string(aMissing)).c_str(), line.c_str());
  return static_cast<std::uint64_t>(aNext) + aMissing;
}

// Puts a pipe in the place of standard error.
class ErrorRedirection
{
public:
  explicit ErrorRedirection(const LinePipe& aPipe)
    : m_saved(dup(STDERR_FILENO))
  {
    dup2(aPipe.Writer(), STDERR_FILENO);
  }
  ~ErrorRedirection()
  {
    dup2(m_saved, STDERR_FILENO);
    close(m_saved);
  }
  ErrorRedirection(const ErrorRedirection&) = delete;
  ErrorRedirection& operator=(const ErrorRedirection&) = delete;

private:
  const int m_saved;
};

} // namespace

TEST_GROUP(LineWriter){};

TEST(LineWriter, ACallerNeverWaitsAndIsToldHowManyLinesAreMissing)
{
  LinePipe pipe;
  LineWriter writer(pipe.Writer(), MakeOptions(2 * pipe.Capacity()));
  BlockWriter(pipe, writer);
  WriteLines(writer, 0, kLines);
  const std::uint64_t dropped = writer.Dropped();
  CHECK(dropped > 0);
  pipe.ReadLine();
  CHECK_EQUAL(std::uint64_t(kLines), ReadToGap(pipe, 0, dropped));
  writer.Write("after");
  STRCMP_EQUAL("after", pipe.ReadLine().c_str());
  CHECK_EQUAL(dropped, writer.Dropped());
}

// Failure: a thread that runs late takes a full queue, and there is a second
// gap before anybody has read.
TEST(LineWriter, EachGapIsToldInItsPlace)
{
  LinePipe pipe;
  LineWriter writer(pipe.Writer(), MakeOptions(2 * pipe.Capacity()));
  BlockWriter(pipe, writer);
  WriteLines(writer, 0, kLines);
  const std::uint64_t first = writer.Dropped();
  CHECK(first > 0);
  pipe.ReadLine();
  // The thread has taken the queue, which does not fit into the pipe.
  STRCMP_EQUAL(MakeLine(0).c_str(), pipe.ReadLine().c_str());
  WriteLines(writer, kLines, 2 * kLines);
  const std::uint64_t second = writer.Dropped() - first;
  CHECK(second > 0);
  CHECK_EQUAL(std::uint64_t(kLines), ReadToGap(pipe, 1, first));
  CHECK_EQUAL(std::uint64_t(2 * kLines), ReadToGap(pipe, kLines, second));
  writer.Write("after");
  STRCMP_EQUAL("after", pipe.ReadLine().c_str());
  CHECK_EQUAL(first + second, writer.Dropped());
}

TEST(LineWriter, AHealthyReaderGetsEveryLineInOrder)
{
  LinePipe pipe;
  LineWriter writer(pipe.Writer(), MakeOptions(kMaxBytes * kMaxBytes));
  std::thread caller([&] {
    for (int i = 0; i < kLines; ++i) {
      writer.Write(MakeLine(i));
    }
  });
  bool inOrder = true;
  for (int i = 0; i < kLines; ++i) {
    inOrder = pipe.ReadLine() == MakeLine(i) && inOrder;
  }
  caller.join();
  CHECK(inOrder);
  CHECK_EQUAL(0U, writer.Dropped());
}

TEST(LineWriter, EndsThoughNobodyReads)
{
  LinePipe pipe;
  // Never closed: the thread that is left behind uses it until the reader has
  // gone.
  const int descriptor = dup(pipe.Writer());
  {
    LineWriter writer(descriptor, MakeOptions(kMaxBytes * kMaxBytes));
    for (int i = 0; i < kLines; ++i) {
      writer.Write(MakeLine(i));
    }
    CHECK_FALSE(writer.Flush(std::chrono::milliseconds(1)));
  }
  pipe.CloseReader();
}

TEST(LineWriter, AReaderThatHasGoneEndsNothing)
{
  LinePipe pipe;
  pipe.CloseReader();
  LineWriter writer(pipe.Writer(), MakeOptions(kMaxBytes));
  writer.Write("lost");
  CHECK(writer.Flush(std::chrono::seconds(20)));
  CHECK_EQUAL(1U, writer.Dropped());
}

TEST(LineWriter, TheLogWaitsForNoReaderOfStandardError)
{
  LinePipe pipe;
  const ErrorRedirection redirection(pipe);
  OpenLog(LogLevel::Info, "", "vm1");
  for (int i = 0; i < kLines; ++i) {
    Log(LogLevel::Info, "message", { { "number", std::to_string(i) } });
  }
  std::string line = pipe.ReadLine();
  while (line.find("\"lines_dropped\",\"count\":") == std::string::npos) {
    STRCMP_CONTAINS("\"number\"", line.c_str());
    line = pipe.ReadLine();
  }
  STRCMP_CONTAINS("\"vm\":\"vm1\"", line.c_str());
  OpenLog(LogLevel::Error, "", "vm1");
}
