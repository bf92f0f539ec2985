// Quorum-confirmed reads that wait for their answer or for the state.
#include "Control/PendingReads.h"

#include <utility>

namespace parsleycove {

std::uint64_t
ReadTable::Add(Handler aHandler)
{
  m_asked.emplace(++m_lastId, std::move(aHandler));
  return m_lastId;
}

void
ReadTable::Answer(const ReadState& aRead)
{
  const auto found = m_asked.find(aRead.m_id);
  if (found == m_asked.end()) {
    return;
  }
  Handler handler = std::move(found->second);
  m_asked.erase(found);
  if (!aRead.m_ok) {
    handler(aRead);
    return;
  }
  m_confirmed.emplace(aRead.m_index, Confirmed{ aRead, std::move(handler) });
}

void
ReadTable::Advance(std::uint64_t aAppliedIndex)
{
  while (!m_confirmed.empty() && m_confirmed.begin()->first <= aAppliedIndex) {
    const Confirmed read = std::move(m_confirmed.begin()->second);
    m_confirmed.erase(m_confirmed.begin());
    read.m_handler(read.m_read);
  }
}

} // namespace parsleycove
