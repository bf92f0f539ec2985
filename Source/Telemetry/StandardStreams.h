// The process's standard output and standard error, each with one queue for all
// lines that go there.
#pragma once

#include <cstdint>
#include <string>

#include "Telemetry/LineWriter.h"

namespace parsleycove {

// Neither is destroyed before the process ends: threads may write until then.
LineWriter&
StandardOutput();
LineWriter&
StandardError();

// The VM that lines about missing lines name. Call it before other threads
// write.
void
SetStreamVm(const std::string& aVm);

// Lines missing on both streams.
std::uint64_t
CountDroppedLines();

// Waits for the readers of both streams, up to the limit for each.
void
FlushStandardStreams(Duration aLimit);

} // namespace parsleycove
