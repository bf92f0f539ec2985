// Storage of the action ledger: lookup, order of eviction, holders.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include <boost/intrusive/list.hpp>

#include "State/ActionEntry.h"
#include "State/StateLimits.h"
#include "StateGenerated.h"

namespace parsleycove {

// Keeps entries by (account, key). Open ones are never evicted; finished ones
// leave in the order in which they finished.
class ActionTable
{
public:
  using Mutation = std::function<void(state::ActionRecordT&)>;
  using Visitor = std::function<void(const state::ActionRecordT&)>;

  explicit ActionTable(StateLimits aLimits);
  ~ActionTable();
  ActionTable(const ActionTable&) = delete;
  ActionTable& operator=(const ActionTable&) = delete;

  // Null when there is no such entry.
  ActionEntry* Find(std::string_view aAccount, std::string_view aKey) const;
  // Adds an entry at the end of its list; null when it is there already.
  ActionEntry* Add(state::ActionRecordT aRecord);
  // Changes an entry and moves it to the end of its list.
  void Update(ActionEntry& aEntry, const Mutation& aMutation);
  // Drops entries past the longest retention, and makes room for one more;
  // false when what is there must be kept.
  bool MakeRoom(std::size_t aBytes, std::uint64_t aNow);

  // Entries that processes of this gateway up to this epoch hold.
  std::vector<ActionEntry*> FindHeld(const std::string& aGateway,
                                     std::uint64_t aEpoch) const;
  std::vector<std::string> ListHolders() const;
  // Open entries whose last change is before that time, oldest first.
  std::vector<const state::ActionRecordT*> FindOpenBefore(
    std::uint64_t aUnixMs,
    std::size_t aMost) const;
  // Visits finished entries, then open ones, each in the order of their lists.
  void Visit(const Visitor& aVisitor) const;
  // Prepares for this many entries.
  void Reserve(std::size_t aCount) { m_entries.reserve(aCount); }
  void RestoreMarks(std::uint64_t aEvictedKeyUnixMs,
                    std::uint64_t aAttemptFloor);

  std::size_t Count() const { return m_entries.size(); }
  std::size_t Bytes() const { return m_bytes; }
  std::uint64_t EvictedKeyUnixMs() const { return m_evictedKeyUnixMs; }
  std::uint64_t AttemptFloor() const { return m_attemptFloor; }

  // Share of the byte count; the same on every build.
  static std::size_t CountBytes(const state::ActionRecordT& aRecord);

private:
  struct Name
  {
    std::string_view m_account;
    std::string_view m_key;
    bool operator==(const Name&) const = default;
  };
  using Pointer = std::unique_ptr<ActionEntry>;
  struct NameHash
  {
    using is_transparent = void; // NOLINT: the standard's name
    std::size_t operator()(const Name& aName) const;
    std::size_t operator()(const Pointer& aEntry) const;
  };
  struct NameEqual
  {
    using is_transparent = void; // NOLINT: the standard's name
    bool operator()(const Pointer& aLeft, const Pointer& aRight) const;
    bool operator()(const Name& aLeft, const Pointer& aRight) const;
    bool operator()(const Pointer& aLeft, const Name& aRight) const;
  };
  using Hook = boost::intrusive::list_member_hook<>;
  using PhaseList = boost::intrusive::list<
    ActionEntry,
    boost::intrusive::
      member_hook<ActionEntry, Hook, &ActionEntry::m_phaseHook>>;
  using HolderList = boost::intrusive::list<
    ActionEntry,
    boost::intrusive::
      member_hook<ActionEntry, Hook, &ActionEntry::m_holderHook>>;

  static Name NameOf(const ActionEntry& aEntry);
  void Link(ActionEntry& aEntry);
  void Unlink(ActionEntry& aEntry);
  bool IsOldestPast(std::uint64_t aRetentionMs, std::uint64_t aNow) const;
  void EvictOldest();

  StateLimits m_limits;
  std::unordered_set<Pointer, NameHash, NameEqual> m_entries;
  // Invariant: each entry is in exactly one of the next two lists, in order of
  // its last change of state.
  PhaseList m_open;     // Reserved, Dispatched, InDoubt
  PhaseList m_finished; // Done, NotRun
  // Invariant: Reserved and Dispatched entries by gateway, in the order of
  // m_open; no list is empty.
  std::map<std::string, HolderList> m_held;
  std::size_t m_bytes = 0; // sum of the entries' shares
  // Invariant: no evicted key carries a later time or had a higher attempt.
  std::uint64_t m_evictedKeyUnixMs = 0;
  std::uint64_t m_attemptFloor = 0;
};

} // namespace parsleycove
