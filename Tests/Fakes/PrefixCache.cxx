// Which prompt prefixes an engine still has in its limited memory.
#include "Fakes/PrefixCache.h"

#include <utility>

namespace parsleycove::fakes {

namespace {

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

// Adds the four low bytes of one input, lowest first.
std::uint64_t
AddInput(std::uint64_t aHash, std::uint64_t aInput)
{
  for (int byte = 0; byte < 4; ++byte) {
    aHash = (aHash ^ ((aInput >> (8 * byte)) & 0xff)) * kFnvPrime;
  }
  return aHash;
}

} // namespace

std::size_t
PrefixCache::Use(const std::vector<std::uint64_t>& aInputs)
{
  std::size_t cached = 0;
  bool leading = true;
  std::uint64_t hash = kFnvOffset;
  for (std::size_t place = 0; place < aInputs.size(); ++place) {
    hash = AddInput(hash, aInputs[place]);
    if ((place + 1) % kBlockInputs != 0) {
      continue;
    }
    if (const auto found = m_index.find(hash); found != m_index.end()) {
      m_order.splice(m_order.begin(), m_order, found->second);
      cached = leading ? place + 1 : cached;
    } else {
      leading = false;
      Insert(hash);
    }
  }
  return cached;
}

void
PrefixCache::Insert(std::uint64_t aHash)
{
  if (m_capacityBlocks == 0) {
    return;
  }
  if (m_order.size() >= m_capacityBlocks) {
    m_evicted.push_back(m_order.back());
    m_index.erase(m_order.back());
    m_order.pop_back();
  }
  m_order.push_front(aHash);
  m_index[aHash] = m_order.begin();
  m_cached.push_back(aHash);
}

std::vector<std::uint64_t>
PrefixCache::TakeCached()
{
  return std::exchange(m_cached, {});
}

std::vector<std::uint64_t>
PrefixCache::TakeEvicted()
{
  return std::exchange(m_evicted, {});
}

} // namespace parsleycove::fakes
