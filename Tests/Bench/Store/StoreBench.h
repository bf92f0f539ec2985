// Measurements of the store on the machine's own disk.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "Consensus/Replica.h"

namespace parsleycove::bench {

inline constexpr std::size_t kEntryBytes = 300;

// Returns the seconds since a time of the steady clock.
double
SecondsSince(std::chrono::steady_clock::time_point aStart);

consensus::EntryT
MakeEntry(std::uint64_t aIndex);

consensus::HardStateT
MakeHardState();

// The disk's own rate: appends of a small block, each with its fdatasync.
void
MeasureDiskBound(const std::string& aFolder);

// Entries a second that the store makes durable, by entries for each sync.
void
MeasureCommits(const std::string& aFolder, std::uint64_t aGroup);

// Time from opening the folder to the log in memory.
void
MeasureRestart(const std::string& aFolder,
               std::uint64_t aEntries,
               std::uint64_t aSnapshotAt);

} // namespace parsleycove::bench
