// Measurements of the store on the machine's own disk.
#include "StoreBench.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>

namespace parsleycove::bench {

double
SecondsSince(std::chrono::steady_clock::time_point aStart)
{
  const auto passed = std::chrono::steady_clock::now() - aStart;
  return std::chrono::duration<double>(passed).count();
}

consensus::EntryT
MakeEntry(std::uint64_t aIndex)
{
  consensus::EntryT entry;
  entry.index = aIndex;
  entry.term = 1;
  entry.kind = consensus::EntryKind::Command;
  entry.data.assign(kEntryBytes, static_cast<std::uint8_t>(aIndex));
  return entry;
}

consensus::HardStateT
MakeHardState()
{
  consensus::HardStateT state;
  state.replica = 1;
  state.cluster = 1;
  state.term = 1;
  return state;
}

} // namespace parsleycove::bench

namespace {

// Runs a measurement in a folder of its own.
void
RunIn(const std::string& aParent,
      const std::function<void(const std::string&)>& aMeasure)
{
  std::string name = aParent + "/bench-XXXXXX";
  if (!mkdtemp(name.data())) {
    std::printf("{\"error\":\"no folder in %s\"}\n", aParent.c_str());
    return;
  }
  aMeasure(name);
  std::fflush(stdout);
  std::filesystem::remove_all(name);
}

} // namespace

// The only argument is the folder on the disk to measure.
int
main(int argc, char** argv)
{
  using namespace parsleycove::bench;
  const std::string parent =
    argc > 1 ? argv[1] : std::filesystem::temp_directory_path().string();
  RunIn(parent, MeasureDiskBound);
  for (const std::uint64_t group : { 1, 4, 16, 64, 256 }) {
    RunIn(parent, [=](const auto& aFolder) { MeasureCommits(aFolder, group); });
  }
  for (const std::uint64_t entries : { 100, 1000, 10000, 100000 }) {
    RunIn(parent,
          [=](const auto& aFolder) { MeasureRestart(aFolder, entries, 0); });
    RunIn(parent, [=](const auto& aFolder) {
      MeasureRestart(aFolder, entries, entries - entries / 10);
    });
  }
  return 0;
}
