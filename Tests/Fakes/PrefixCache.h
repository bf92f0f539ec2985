// Which prompt prefixes an engine still has in its limited memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace parsleycove::fakes {

// Evicts the prefix that was used least recently.
class PrefixCache
{
public:
  // Inputs per block; only whole blocks are cached.
  static constexpr std::size_t kBlockInputs = 16;

  explicit PrefixCache(std::size_t aCapacityInputs)
    : m_capacityBlocks(aCapacityInputs / kBlockInputs)
  {
  }

  // Returns how many leading inputs were cached, and caches all whole blocks.
  std::size_t Use(const std::vector<std::uint64_t>& aInputs);

  // Prefix hashes that were cached or evicted since the last call.
  std::vector<std::uint64_t> TakeCached();
  std::vector<std::uint64_t> TakeEvicted();

private:
  void Insert(std::uint64_t aHash);

  const std::size_t m_capacityBlocks;
  std::list<std::uint64_t> m_order; // most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_index;
  std::vector<std::uint64_t> m_cached;
  std::vector<std::uint64_t> m_evicted;
};

} // namespace parsleycove::fakes
