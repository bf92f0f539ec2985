// One parsed command line of parsleycovectl.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Base/SocketAddress.h"

namespace parsleycove {

struct Invocation
{
  std::vector<SocketAddress> m_servers;
  std::string m_operatorKey;
  std::string m_operator; // who is named in the audit of a change
  bool m_help = false;
  bool m_json = false;
  bool m_waitInForce = false;
  std::optional<bool> m_ran; // --ran or --not-run
  std::optional<std::uint64_t> m_baseRevision;
  std::string m_changeId;
  std::uint64_t m_waitMs = 10'000;
  std::vector<std::string> m_words; // the command and its arguments
};

} // namespace parsleycove
