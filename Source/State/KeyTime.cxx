// The time that an idempotency key carries.
#include "State/KeyTime.h"

#include <cctype>
#include <charconv>
#include <cstddef>

namespace parsleycove {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kVariantPosition = 19;
constexpr int kHexBase = 16;
constexpr unsigned kLowTimeBits = 16;

bool
IsDashPosition(std::size_t aPosition)
{
  return aPosition == 8 || aPosition == 13 || aPosition == 18 ||
         aPosition == 23;
}

bool
IsUuid(std::string_view aKey)
{
  if (aKey.size() != kUuidLength) {
    return false;
  }
  for (std::size_t position = 0; position < aKey.size(); ++position) {
    const auto character = static_cast<unsigned char>(aKey[position]);
    const bool fits = IsDashPosition(position) ? character == '-'
                                               : std::isxdigit(character) != 0;
    if (!fits) {
      return false;
    }
  }
  return true;
}

std::uint64_t
ParseHex(std::string_view aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number, kHexBase);
  return number;
}

} // namespace

std::optional<std::uint64_t>
ReadKeyTime(std::string_view aKey)
{
  if (!IsUuid(aKey) || aKey[kVersionPosition] != '7') {
    return std::nullopt;
  }
  constexpr std::string_view kVariants = "89abAB";
  if (kVariants.find(aKey[kVariantPosition]) == std::string_view::npos) {
    return std::nullopt;
  }
  const std::uint64_t high = ParseHex(aKey.substr(0, 8));
  const std::uint64_t low = ParseHex(aKey.substr(9, 4));
  return (high << kLowTimeBits) | low;
}

} // namespace parsleycove
