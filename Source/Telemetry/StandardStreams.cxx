// The process's standard output and standard error, each with one queue for all
// lines that go there.
#include "Telemetry/StandardStreams.h"

#include <unistd.h>

#include "Telemetry/DecisionLog.h"

namespace parsleycove {

namespace {

std::string&
StreamVm()
{
  static auto* s_vm = new std::string;
  return *s_vm;
}

LineWriterOptions
MakeOptions()
{
  LineWriterOptions options;
  options.m_describeGap = [](std::uint64_t aCount) {
    DecisionLine line(
      StreamVm(), DecisionEvent::LinesDropped, SystemClock().UnixMs());
    line.Add("count", static_cast<std::int64_t>(aCount));
    return line.Finish();
  };
  return options;
}

} // namespace

LineWriter&
StandardOutput()
{
  static auto* s_writer = new LineWriter(STDOUT_FILENO, MakeOptions());
  return *s_writer;
}

LineWriter&
StandardError()
{
  static auto* s_writer = new LineWriter(STDERR_FILENO, MakeOptions());
  return *s_writer;
}

void
SetStreamVm(const std::string& aVm)
{
  StreamVm() = aVm;
}

std::uint64_t
CountDroppedLines()
{
  return StandardOutput().Dropped() + StandardError().Dropped();
}

void
FlushStandardStreams(Duration aLimit)
{
  StandardOutput().Flush(aLimit);
  StandardError().Flush(aLimit);
}

} // namespace parsleycove
