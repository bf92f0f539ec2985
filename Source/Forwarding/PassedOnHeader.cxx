// Header fields between a VM that passes a request on and the VM that takes it
// over.
#include "Forwarding/PassedOnHeader.h"

#include <charconv>

#include <boost/beast/core/string.hpp>

namespace parsleycove {

namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr unsigned kMaxAttempts = 1000;

} // namespace

std::string
FormatPassedOn(const PassedOnHeader& aHeader)
{
  return aHeader.m_vm + " " + std::to_string(aHeader.m_attempts) +
         (aHeader.m_isCounted ? " 1" : " 0");
}

std::optional<PassedOnHeader>
ParsePassedOn(std::string_view aText)
{
  const auto first = aText.find(' ');
  const auto second = aText.find(' ', first + 1);
  if (first == 0 || first > kMaxNameLength ||
      second == std::string_view::npos) {
    return std::nullopt;
  }
  PassedOnHeader header;
  header.m_vm = aText.substr(0, first);
  const std::string_view digits = aText.substr(first + 1, second - first - 1);
  const std::string_view counted = aText.substr(second + 1);
  const char* end = digits.data() + digits.size();
  const auto [stop, error] =
    std::from_chars(digits.data(), end, header.m_attempts);
  header.m_isCounted = counted == "1";
  const bool isRead = error == std::errc{} && stop == end &&
                      header.m_attempts <= kMaxAttempts &&
                      (counted == "0" || counted == "1");
  return isRead ? std::optional(header) : std::nullopt;
}

bool
IsPassedOnHeader(std::string_view aName)
{
  return boost::beast::iequals(aName, kPassedOnHeader) ||
         boost::beast::iequals(aName, kRefusedForHeader);
}

} // namespace parsleycove
