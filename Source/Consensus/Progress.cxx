// What a leader knows of one member's log.
#include "Consensus/Progress.h"

namespace parsleycove {

namespace {

// A member that answers nothing must not make its list grow for ever.
constexpr std::size_t kMaxUnanswered = 1024;

} // namespace

void
Progress::RecordSent(std::uint64_t aProbe, TimePoint aNow, bool aWithEntries)
{
  if (m_sent.size() == kMaxUnanswered) {
    PopSent();
  }
  m_sent.push_back({ aProbe, aNow, aWithEntries });
  m_inflight += aWithEntries ? 1 : 0;
}

void
Progress::RecordAck(std::uint64_t aProbe)
{
  while (!m_sent.empty() && m_sent.front().m_probe <= aProbe) {
    if (m_sent.front().m_probe == aProbe) {
      m_ackedProbe = aProbe;
      m_ackedSentAt = m_sent.front().m_at;
    }
    PopSent();
  }
}

void
Progress::PopSent()
{
  m_inflight -= m_sent.front().m_withEntries ? 1 : 0;
  m_sent.pop_front();
}

} // namespace parsleycove
