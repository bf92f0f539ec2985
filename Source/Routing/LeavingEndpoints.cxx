// Remembers which endpoints have said that they leave.
#include "Routing/LeavingEndpoints.h"

namespace parsleycove {

void
LeavingEndpoints::Add(const Runner& aRunner)
{
  const std::uint64_t key = IncarnationKey(aRunner);
  if (!m_keys.insert(key).second) {
    return;
  }
  m_order.push_back(key);
  if (m_order.size() > kMaxEntries) {
    m_keys.erase(m_order.front());
    m_order.pop_front();
  }
}

void
LeavingEndpoints::Restore(const RunnerTable& aTable) const
{
  if (m_keys.empty()) {
    return;
  }
  for (const RunnerPtr& runner : aTable.Runners()) {
    if (m_keys.contains(IncarnationKey(*runner))) {
      runner->m_load->Notice().MarkLeaving();
    }
  }
}

} // namespace parsleycove
