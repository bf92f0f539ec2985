// Checks settings one by one and keeps the first error.
#include "Daemon/SettingChecker.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <utility>

namespace parsleycove {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kHashDigits = 64;

// Returns std::nullopt unless the whole text is a finite decimal number.
std::optional<double>
ParseDecimal(std::string_view aText)
{
  double number = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc{} || stop != end || !std::isfinite(number)) {
    return std::nullopt;
  }
  return number;
}

} // namespace

void
SettingChecker::Fail(SettingId aId)
{
  const SettingRow& row = RowOf(aId);
  FailWith("--" + std::string(row.m_name) + " (" + std::string(row.m_variable) +
           ") is \"" + m_reader.TextOf(aId) + "\": expected " +
           std::string(row.m_expected));
}

void
SettingChecker::FailWith(std::string aText)
{
  if (!HasFailed()) {
    m_reason.Set(SettingError::Invalid, std::move(aText));
  }
}

std::string
SettingChecker::Name(SettingId aId)
{
  const std::string& text = m_reader.TextOf(aId);
  const bool fits = !text.empty() && text.size() <= kMaxNameLength;
  const bool isPlain =
    std::all_of(text.begin(), text.end(), [](unsigned char aSign) {
      return std::isalnum(aSign) != 0 || aSign == '-' || aSign == '_' ||
             aSign == '.';
    });
  if (!fits || !isPlain) {
    Fail(aId);
  }
  return text;
}

std::uint64_t
SettingChecker::Number(SettingId aId,
                       std::uint64_t aLowest,
                       std::uint64_t aHighest)
{
  const std::string& text = m_reader.TextOf(aId);
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  const bool isNumber = error == std::errc{} && stop == end;
  if (!isNumber || number < aLowest || number > aHighest) {
    Fail(aId);
  }
  return number;
}

double
SettingChecker::Decimal(SettingId aId, double aLowest, double aHighest)
{
  const auto number = ParseDecimal(m_reader.TextOf(aId));
  if (!number || *number < aLowest || *number > aHighest) {
    Fail(aId);
    return aLowest;
  }
  return *number;
}

Duration
SettingChecker::Milliseconds(SettingId aId,
                             std::uint64_t aLowest,
                             std::uint64_t aHighest,
                             Rounding aRounding)
{
  constexpr double kMsPerSecond = 1000;
  std::string_view text = m_reader.TextOf(aId);
  double unit = 1;
  if (text.ends_with("ms")) {
    text.remove_suffix(2);
  } else if (text.ends_with('s')) {
    text.remove_suffix(1);
    unit = kMsPerSecond;
  }
  const auto number = ParseDecimal(text);
  const double ms = number.value_or(-1) * unit;
  const double whole =
    aRounding == Rounding::Up ? std::ceil(ms) : std::floor(ms);
  if (!number || whole < static_cast<double>(aLowest) ||
      whole > static_cast<double>(aHighest)) {
    Fail(aId);
    return std::chrono::milliseconds(aLowest);
  }
  return std::chrono::milliseconds(static_cast<std::int64_t>(whole));
}

bool
SettingChecker::Flag(SettingId aId)
{
  const std::string& text = m_reader.TextOf(aId);
  if (text != "true" && text != "false") {
    Fail(aId);
  }
  return text == "true";
}

SocketAddress
SettingChecker::Address(SettingId aId)
{
  const auto address = SocketAddress::Parse(m_reader.TextOf(aId));
  if (!address) {
    Fail(aId);
    return {};
  }
  return *address;
}

std::string
SettingChecker::Hash(SettingId aId)
{
  const std::string& text = m_reader.TextOf(aId);
  const bool isHex =
    std::all_of(text.begin(), text.end(), [](unsigned char aSign) {
      return std::isdigit(aSign) != 0 || (aSign >= 'a' && aSign <= 'f');
    });
  if (!text.empty() && (text.size() != kHashDigits || !isHex)) {
    Fail(aId);
  }
  return text;
}

} // namespace parsleycove
