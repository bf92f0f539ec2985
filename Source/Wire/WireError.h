// Errors of framing and links.
#pragma once

#include <array>

#include "Base/EnumTable.h"
#include "Base/Reason.h"

namespace parsleycove {

enum class WireError
{
  None,
  BadLength,
  BadChecksum,
  BadKind,
  BadAddress,
  CannotListen,
  CannotConnect,
  Disconnected,
  Silent,
  QueueFull,
};
using WireReason = Reason<WireError>;

inline constexpr std::array kWireErrorNames{
  EnumName<WireError>{ WireError::None, "none" },
  EnumName<WireError>{ WireError::BadLength, "bad_length" },
  EnumName<WireError>{ WireError::BadChecksum, "bad_checksum" },
  EnumName<WireError>{ WireError::BadKind, "bad_kind" },
  EnumName<WireError>{ WireError::BadAddress, "bad_address" },
  EnumName<WireError>{ WireError::CannotListen, "cannot_listen" },
  EnumName<WireError>{ WireError::CannotConnect, "cannot_connect" },
  EnumName<WireError>{ WireError::Disconnected, "disconnected" },
  EnumName<WireError>{ WireError::Silent, "silent" },
  EnumName<WireError>{ WireError::QueueFull, "queue_full" },
};

} // namespace parsleycove
