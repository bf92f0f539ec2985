// Checks settings one by one and keeps the first error.
#pragma once

#include <cstdint>
#include <string>

#include "Base/Clock.h"
#include "Base/SocketAddress.h"
#include "Daemon/SettingReader.h"

namespace parsleycove {

// The direction that keeps a promise when a setting has a fraction: a budget or
// a lease is rounded down, a wait is rounded up.
enum class Rounding
{
  Down,
  Up,
};

// Each error names the setting, its value and what was expected; the values
// that are returned after an error do not matter.
class SettingChecker
{
public:
  explicit SettingChecker(const SettingReader& aReader)
    : m_reader(aReader)
  {
  }

  bool HasFailed() const { return m_reason.m_code != SettingError::None; }
  const SettingReason& LastReason() const { return m_reason; }
  void Fail(SettingId aId);
  void FailWith(std::string aText);

  std::string Name(SettingId aId);
  std::uint64_t Number(SettingId aId,
                       std::uint64_t aLowest,
                       std::uint64_t aHighest);
  // A number that may have a fraction, for example "47.5".
  double Decimal(SettingId aId, double aLowest, double aHighest);
  // Milliseconds, or a number with its unit: "2500", "2500ms" or "2.5s". The
  // limits are in milliseconds. A fraction of a millisecond is rounded as
  // aRounding says.
  Duration Milliseconds(SettingId aId,
                        std::uint64_t aLowest,
                        std::uint64_t aHighest,
                        Rounding aRounding);
  bool Flag(SettingId aId);
  SocketAddress Address(SettingId aId);
  // Lower-case hex of a SHA-256, or nothing.
  std::string Hash(SettingId aId);

private:
  const SettingReader& m_reader;
  SettingReason m_reason;
};

} // namespace parsleycove
