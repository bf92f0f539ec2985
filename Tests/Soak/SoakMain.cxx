// Runs the fault soak: a few seeds, each against new processes.
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

#include <getopt.h>

#include "Soak/Soak.h"

namespace {

using namespace parsleycove;

constexpr std::size_t kMostEntries = 200;

constexpr char kUsage[] =
  "usage: parsleycove-soak --program FILE [--seed N] [--seeds COUNT]\n"
  "       [--seconds N] [--folder DIR] [--entries N] [--crashing-part]\n"
  "       [--crashing-request] [--limits] [--cut-off] [--timed]\n"
  "--folder: logs and data are kept there, in a folder for each seed\n"
  "--entries: number of entry processes, 1 to 200\n"
  "--crashing-part: some prompts have a part that crashes engines\n"
  "--crashing-request: one request comes again and crashes back ends\n"
  "--limits: some back ends name limits of requests\n"
  "--cut-off: entry VMs lose their links to back ends\n"
  "--timed: also checks what is promised within a time\n";

struct SoakRuns
{
  SoakOptions m_options;
  std::uint64_t m_seeds = 1;
  std::string m_folder = "soak";
};

bool
ReadOptions(int argc, char** argv, SoakRuns& aRuns)
{
  const option options[] = { { "program", required_argument, nullptr, 'p' },
                             { "seed", required_argument, nullptr, 's' },
                             { "seeds", required_argument, nullptr, 'n' },
                             { "seconds", required_argument, nullptr, 't' },
                             { "folder", required_argument, nullptr, 'f' },
                             { "entries", required_argument, nullptr, 'e' },
                             { "crashing-part", no_argument, nullptr, 'x' },
                             { "crashing-request", no_argument, nullptr, 'r' },
                             { "limits", no_argument, nullptr, 'l' },
                             { "cut-off", no_argument, nullptr, 'o' },
                             { "timed", no_argument, nullptr, 'c' },
                             {} };
  for (int name = 0;
       (name = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
    switch (name) {
      case 'p':
        aRuns.m_options.m_program = optarg;
        break;
      case 's':
        aRuns.m_options.m_seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 'n':
        aRuns.m_seeds = std::strtoull(optarg, nullptr, 10);
        break;
      case 't':
        aRuns.m_options.m_length =
          std::chrono::seconds(std::strtoll(optarg, nullptr, 10));
        break;
      case 'f':
        aRuns.m_folder = optarg;
        break;
      case 'e':
        aRuns.m_options.m_entries = std::strtoull(optarg, nullptr, 10);
        break;
      case 'x':
        aRuns.m_options.m_hasCrashingPart = true;
        break;
      case 'r':
        aRuns.m_options.m_hasCrashingRequest = true;
        break;
      case 'l':
        aRuns.m_options.m_hasLimits = true;
        break;
      case 'o':
        aRuns.m_options.m_hasCuts = true;
        break;
      case 'c':
        aRuns.m_options.m_isTimed = true;
        break;
      default:
        return false;
    }
  }
  return !aRuns.m_options.m_program.empty() && optind == argc &&
         aRuns.m_options.m_entries >= 1 &&
         aRuns.m_options.m_entries <= kMostEntries;
}

} // namespace

int
main(int argc, char** argv)
{
  SoakRuns runs;
  if (!ReadOptions(argc, argv, runs)) {
    std::cerr << kUsage;
    return 2;
  }
  // A copy, since the program may be built anew under a long run.
  const std::filesystem::path folder = std::filesystem::absolute(runs.m_folder);
  const std::filesystem::path program = folder / "parsleycoved";
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  std::filesystem::copy_file(runs.m_options.m_program,
                             program,
                             std::filesystem::copy_options::overwrite_existing,
                             error);
  if (error) {
    std::cerr << "parsleycove-soak: cannot copy " << runs.m_options.m_program
              << ": " << error.message() << "\n";
    return 2;
  }
  runs.m_options.m_program = program.string();
  int failed = 0;
  const std::uint64_t first = runs.m_options.m_seed;
  for (std::uint64_t seed = first; seed < first + runs.m_seeds; ++seed) {
    SoakOptions options = runs.m_options;
    options.m_seed = seed;
    options.m_folder = std::filesystem::absolute(runs.m_folder).string() + "/" +
                       std::to_string(seed);
    std::filesystem::remove_all(options.m_folder);
    std::filesystem::create_directories(options.m_folder);
    failed += Soak(options).Run() ? 0 : 1;
  }
  std::cout << runs.m_seeds - failed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}
