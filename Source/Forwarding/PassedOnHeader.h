// Header fields between a VM that passes a request on and the VM that takes it
// over.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace parsleycove {

inline constexpr std::string_view kPassedOnHeader = "Parsleycove-Passed-On";
// Names the cause of a refusal, see RefusalCause.
inline constexpr std::string_view kRefusedForHeader = "Parsleycove-Refused-For";

struct PassedOnHeader
{
  // The VM that the caller is connected to.
  std::string m_vm;
  // Calls with the request that the other VM has sent before. It has charged
  // its own share of the retry budget for this one: many streams that come at
  // once would use up the shares of the few VMs that take them over.
  unsigned m_attempts = 0;
  // The other VM has counted the request for the retry budget of its service.
  bool m_isCounted = false;
};

std::string
FormatPassedOn(const PassedOnHeader& aHeader);

// Returns std::nullopt if the text is not what FormatPassedOn writes.
std::optional<PassedOnHeader>
ParsePassedOn(std::string_view aText);

// Returns true for both header fields, in any letter case.
bool
IsPassedOnHeader(std::string_view aName);

} // namespace parsleycove
