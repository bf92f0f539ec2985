// One entry of the action ledger with its places in the ledger's lists.
#pragma once

#include <cstddef>

#include <boost/intrusive/list_hook.hpp>

#include "StateGenerated.h"

namespace parsleycove {

struct ActionEntry
{
  state::ActionRecordT m_record;
  // Share of the ledger's byte count.
  std::size_t m_bytes = 0;
  // In the list of open entries or in the list of finished ones.
  boost::intrusive::list_member_hook<> m_phaseHook;
  // In the list of its gateway while Reserved or Dispatched.
  boost::intrusive::list_member_hook<> m_holderHook;
};

} // namespace parsleycove
