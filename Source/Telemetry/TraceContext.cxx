// W3C trace context: which trace and span a piece of work belongs to.
#include "Telemetry/TraceContext.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <random>

namespace parsleycove {

namespace {

constexpr std::size_t kTraceDigits = 32;
constexpr std::size_t kSpanDigits = 16;
// "00-" trace "-" span "-" two digits of flags.
constexpr std::size_t kHeaderLength = 3 + kTraceDigits + 1 + kSpanDigits + 3;

bool
IsHexId(std::string_view aText)
{
  const bool isHex = std::all_of(aText.begin(), aText.end(), [](char aDigit) {
    return (aDigit >= '0' && aDigit <= '9') || (aDigit >= 'a' && aDigit <= 'f');
  });
  const bool isZero = aText.find_first_not_of('0') == std::string_view::npos;
  return isHex && !isZero;
}

std::string
DrawHex(std::size_t aDigits)
{
  thread_local std::mt19937_64 t_random{ std::random_device{}() };
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(aDigits);
  while (text.size() < aDigits) {
    std::uint64_t bits = t_random();
    for (int i = 0; i < 16 && text.size() < aDigits; ++i) {
      text.push_back(kDigits[bits & 0xF]);
      bits >>= 4;
    }
  }
  return text;
}

} // namespace

std::optional<TraceContext>
TraceContext::Parse(std::string_view aHeader)
{
  if (aHeader.size() != kHeaderLength || aHeader.substr(0, 3) != "00-") {
    return std::nullopt;
  }
  const std::string_view trace = aHeader.substr(3, kTraceDigits);
  const std::string_view span = aHeader.substr(4 + kTraceDigits, kSpanDigits);
  const bool hasDashes = aHeader[3 + kTraceDigits] == '-' &&
                         aHeader[4 + kTraceDigits + kSpanDigits] == '-';
  if (!hasDashes || !IsHexId(trace) || !IsHexId(span)) {
    return std::nullopt;
  }
  const bool sampled = (aHeader.back() - '0') % 2 == 1;
  return TraceContext{ std::string(trace), std::string(span), sampled };
}

TraceContext
TraceContext::CreateRoot()
{
  return { DrawHex(kTraceDigits), DrawHex(kSpanDigits), true };
}

TraceContext
TraceContext::CreateChild() const
{
  return { m_traceId, DrawHex(kSpanDigits), m_sampled };
}

std::string
TraceContext::ToHeader() const
{
  return "00-" + m_traceId + "-" + m_spanId + (m_sampled ? "-01" : "-00");
}

} // namespace parsleycove
