// Targets of a class of work, in the form that admission and planning use.
#pragma once

#include <cstdint>
#include <string>

#include "Base/Clock.h"

namespace parsleycove {

struct ClassTargets
{
  std::string m_name;
  Duration m_firstToken{};
  // Zero for plain services.
  Duration m_tokenInterval{};
  Duration m_completion{};
  std::uint32_t m_successPerMille = 950;
};

} // namespace parsleycove
