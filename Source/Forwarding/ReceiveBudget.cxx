// Limits the memory of messages that are not yet read to their end.
#include "Forwarding/ReceiveBudget.h"

#include <iterator>

namespace parsleycove {

namespace {

// A request that holds at most this is read also while requests that are being
// served take the budget.
constexpr std::size_t kSmallBytes = 16UL * 1024;

} // namespace

bool
ReceiveBudget::Hold(Reader& aReader, std::size_t aBytes, TimePoint aNow)
{
  Release(aReader);
  if (aBytes == 0) {
    return true;
  }
  if (aBytes > kSmallBytes && m_servedBytes + aBytes > m_limitBytes &&
      m_servedBytes != 0) {
    aReader.OnRefused();
    return false;
  }
  aReader.m_bytes = aBytes;
  aReader.m_receivedAt = aNow;
  m_heldBytes += aBytes;
  m_byProgress.push_back(aReader);
  m_bySize.insert(aReader);
  bool isKept = true;
  while (IsFull()) {
    Reader& refused = ChooseRefused(aNow);
    Release(refused);
    if (&refused == &aReader) {
      isKept = false;
    }
    refused.OnRefused();
  }
  return isKept;
}

void
ReceiveBudget::Release(Reader& aReader)
{
  if (aReader.m_bytes != 0) {
    m_byProgress.erase(m_byProgress.iterator_to(aReader));
    m_bySize.erase(m_bySize.iterator_to(aReader));
    m_heldBytes -= aReader.m_bytes;
    aReader.m_bytes = 0;
  }
}

bool
ReceiveBudget::IsFull() const
{
  return !m_bySize.empty() &&
         m_heldBytes - m_bySize.rbegin()->m_bytes > m_limitBytes;
}

// A full budget has at least two readers, since the largest is not counted.
ReceiveBudget::Reader&
ReceiveBudget::ChooseRefused(TimePoint aNow)
{
  Reader& oldest = m_byProgress.front();
  return aNow - oldest.m_receivedAt >= m_stalledAfter
           ? oldest
           : *std::next(m_bySize.rbegin());
}

} // namespace parsleycove
