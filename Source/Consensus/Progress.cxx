// Tracks the leader's replication progress of one member.
#include "Consensus/Progress.h"

namespace parsleycove {

namespace {

// Bounds the list of unanswered messages of a member that never answers.
constexpr std::size_t kMaxUnanswered = 1024;

} // namespace

void
Progress::RecordSent(std::uint64_t aProbe,
                     TimePoint aNow,
                     std::size_t aEntries,
                     std::size_t aBytes)
{
  if (m_sent.size() == kMaxUnanswered) {
    PopSent();
  }
  m_sent.push_back({ aProbe, aNow, aEntries > 0, aBytes });
  m_inflight += aEntries > 0 ? 1 : 0;
  m_inflightBytes += aBytes;
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
  m_inflightBytes -= m_sent.front().m_bytes;
  m_sent.pop_front();
}

} // namespace parsleycove
