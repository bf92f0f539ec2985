// Quorum-confirmed reads that wait for their answer or for the state.
#include "Control/PendingReads.h"

#include <utility>

namespace parsleycove {

std::uint64_t
PendingReads::Add(Handler aHandler)
{
  m_unconfirmed.emplace(++m_lastId, std::move(aHandler));
  return m_lastId;
}

void
PendingReads::Answer(const ReadState& aRead)
{
  const auto found = m_unconfirmed.find(aRead.m_id);
  if (found == m_unconfirmed.end()) {
    return;
  }
  Handler handler = std::move(found->second);
  m_unconfirmed.erase(found);
  if (!aRead.m_ok) {
    handler(aRead);
    return;
  }
  m_confirmed.emplace(aRead.m_index, Confirmed{ aRead, std::move(handler) });
}

void
PendingReads::Advance(std::uint64_t aAppliedIndex)
{
  while (!m_confirmed.empty() && m_confirmed.begin()->first <= aAppliedIndex) {
    const Confirmed read = std::move(m_confirmed.begin()->second);
    m_confirmed.erase(m_confirmed.begin());
    read.m_handler(read.m_read);
  }
}

} // namespace parsleycove
