// Writes whole small files so that a crash leaves the old one or the new one.
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "Store/Files.h"

namespace parsleycove {

// Writes a file under a temporary name, syncs it, gives it its name and syncs
// the folder.
bool
WriteWhole(Files& aFiles,
           const std::string& aFolder,
           const std::string& aName,
           std::span<const std::uint8_t> aBytes,
           StoreReason& aReason);

// The ending of temporary names; what carries it is left from a crash.
inline constexpr char kTemporaryEnding[] = ".tmp";

} // namespace parsleycove
