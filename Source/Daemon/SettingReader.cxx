// Reads settings from flags and environment variables.
#include "Daemon/SettingReader.h"

#include <string_view>
#include <utility>
#include <vector>

#include <getopt.h>

namespace parsleycove {

namespace {

// Values of getopt_long beyond the index of a setting.
constexpr int kHelpOption = 1000;
constexpr int kVersionOption = 1001;

std::vector<option>
MakeOptions()
{
  std::vector<option> options;
  for (std::size_t i = 0; i < kSettings.size(); ++i) {
    options.push_back({ kSettings[i].m_name.data(),
                        required_argument,
                        nullptr,
                        static_cast<int>(i) });
  }
  options.push_back({ "help", no_argument, nullptr, kHelpOption });
  options.push_back({ "version", no_argument, nullptr, kVersionOption });
  options.push_back({ nullptr, 0, nullptr, 0 });
  return options;
}

} // namespace

bool
SettingReader::Read(int argc, char** argv, char** aEnvironment)
{
  for (std::size_t i = 0; i < kSettings.size(); ++i) {
    m_texts[i] = kSettings[i].m_default;
  }
  return ReadVariables(aEnvironment) && ReadFlags(argc, argv);
}

bool
SettingReader::ReadVariables(char** aEnvironment)
{
  for (char** entry = aEnvironment; *entry != nullptr; ++entry) {
    const std::string_view text(*entry);
    const auto equals = text.find('=');
    const std::string_view name = text.substr(0, equals);
    // The command line tool has variables of its own.
    const bool isOurs = name.starts_with(kVariablePrefix);
    if (!isOurs || equals == std::string_view::npos) {
      continue;
    }
    bool isKnown = false;
    for (std::size_t i = 0; i < kSettings.size(); ++i) {
      if (kSettings[i].m_variable == name) {
        m_texts[i] = text.substr(equals + 1);
        m_given[i] = true;
        isKnown = true;
      }
    }
    if (!isKnown) {
      m_reason.Set(SettingError::UnknownVariable,
                   "unknown environment variable " + std::string(name) +
                     "; --help lists the known ones");
      return false;
    }
  }
  return true;
}

bool
SettingReader::ReadFlags(int argc, char** argv)
{
  const std::vector<option> options = MakeOptions();
  // Zero makes the library scan from the start, also when it is used again.
  optind = 0;
  opterr = 0;
  for (;;) {
    const int current = optind == 0 ? 1 : optind;
    const int found = getopt_long(argc, argv, ":", options.data(), nullptr);
    if (found == -1) {
      break;
    }
    if (found == kHelpOption) {
      m_wantsHelp = true;
    } else if (found == kVersionOption) {
      m_wantsVersion = true;
    } else if (found == ':') {
      m_reason.Set(SettingError::UnknownFlag,
                   std::string(argv[current]) + ": expected a value");
      return false;
    } else if (found == '?') {
      m_reason.Set(SettingError::UnknownFlag,
                   "unknown flag " + std::string(argv[current]) +
                     "; --help lists the known ones");
      return false;
    } else {
      m_texts[static_cast<std::size_t>(found)] = optarg;
      m_given[static_cast<std::size_t>(found)] = true;
    }
  }
  if (optind < argc) {
    m_reason.Set(SettingError::UnknownFlag,
                 "unexpected argument " + std::string(argv[optind]));
    return false;
  }
  return true;
}

void
SettingReader::SetDefault(SettingId aId, std::string aText)
{
  for (std::size_t i = 0; i < kSettings.size(); ++i) {
    if (kSettings[i].m_id == aId && !m_given[i]) {
      m_texts[i] = std::move(aText);
      return;
    }
  }
}

bool
SettingReader::ReadFile(std::string_view aText)
{
  auto texts = m_texts;
  while (!aText.empty()) {
    const auto end = aText.find('\n');
    const std::string_view line = aText.substr(0, end);
    aText = end == std::string_view::npos ? std::string_view{}
                                          : aText.substr(end + 1);
    if (line.empty() || line.front() == '#') {
      continue;
    }
    const auto equals = line.find('=');
    if (equals == std::string_view::npos) {
      m_reason.Set(SettingError::Invalid,
                   "settings file: \"" + std::string(line) +
                     "\" is no setting, expected NAME=VALUE");
      return false;
    }
    const std::string_view value = line.substr(equals + 1);
    for (std::size_t i = 0; i < kSettings.size(); ++i) {
      if (kSettings[i].m_variable == line.substr(0, equals) && !value.empty() &&
          !m_given[i]) {
        texts[i] = value;
      }
    }
  }
  m_texts = std::move(texts);
  return true;
}

const std::string&
SettingReader::TextOf(SettingId aId) const
{
  for (std::size_t i = 0; i < kSettings.size(); ++i) {
    if (kSettings[i].m_id == aId) {
      return m_texts[i];
    }
  }
  return m_texts.front();
}

std::string
PrintSettingsHelp()
{
  std::string help =
    "Usage: parsleycoved --vm NAME --zone NAME [setting ...]\n\n"
    "Every setting is a flag or the environment variable behind it; the flag\n"
    "goes first.\n\n";
  for (const SettingRow& row : kSettings) {
    help.append("  --").append(row.m_name);
    help.append("  (").append(row.m_variable).append(")\n      ");
    help.append(row.m_help).append("\n      expected: ");
    help.append(row.m_expected);
    if (!row.m_default.empty()) {
      help.append("; default ").append(row.m_default);
    }
    help += "\n";
  }
  help += "  --help\n  --version\n\n"
          "Exit codes: 0 stopped gracefully, 2 bad settings, 3 could not "
          "start,\n4 the replica's store failed.\n";
  return help;
}

} // namespace parsleycove
