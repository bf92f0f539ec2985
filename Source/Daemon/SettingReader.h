// Reads settings from flags and environment variables.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "Base/Reason.h"
#include "Daemon/SettingTable.h"

namespace parsleycove {

enum class SettingError
{
  None,
  UnknownFlag,
  UnknownVariable,
  Invalid,
};
using SettingReason = Reason<SettingError>;

// The texts of all settings. A flag goes before the environment variable of
// the same name, and that before the default.
class SettingReader
{
public:
  // Takes the command line and an environment as main() gets them. Unknown
  // flags, stray arguments and unknown PARSLEYCOVE_ variables are errors.
  bool Read(int argc, char** argv, char** aEnvironment);
  // Takes lines NAME=VALUE with the names of the variables; a variable or flag
  // that is given goes before them. Unknown names and empty values are passed
  // over. False, with nothing changed, when a line is no setting.
  bool ReadFile(std::string_view aText);
  const SettingReason& LastReason() const { return m_reason; }

  bool WantsHelp() const { return m_wantsHelp; }
  bool WantsVersion() const { return m_wantsVersion; }
  // For what is not given otherwise.
  void SetDefault(SettingId aId, std::string aText);
  // The text of a setting; the default when it is not given.
  const std::string& TextOf(SettingId aId) const;
  bool IsGiven(SettingId aId) const { return !TextOf(aId).empty(); }

private:
  bool ReadVariables(char** aEnvironment);
  bool ReadFlags(int argc, char** argv);

  std::array<std::string, kSettingCount> m_texts;
  // Given by a flag or a variable.
  std::array<bool, kSettingCount> m_given{};
  bool m_wantsHelp = false;
  bool m_wantsVersion = false;
  SettingReason m_reason;
};

// The text of --help.
std::string
PrintSettingsHelp();

} // namespace parsleycove
