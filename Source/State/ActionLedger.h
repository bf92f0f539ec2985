// The ledger of calls that may run at most once.
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

// State, holder and answer of each (account, idempotency key).
//
// Reserved -> Dispatched -> Done, Reserved -> NotRun and Dispatched -> InDoubt
// -> Done or NotRun. Every step names the attempt it belongs to; a step of an
// attempt that was taken over is refused. aNow is the state's time, which
// never goes back.
class ActionLedger
{
public:
  explicit ActionLedger(StateLimits aLimits);
  ~ActionLedger();
  ActionLedger(const ActionLedger&) = delete;
  ActionLedger& operator=(const ActionLedger&) = delete;

  state::CommandResultT Reserve(const state::ReserveActionT& aCommand,
                                std::uint64_t aNow);
  state::CommandResultT Dispatch(const state::DispatchActionT& aCommand,
                                 std::uint64_t aNow);
  state::CommandResultT Complete(const state::CompleteActionT& aCommand,
                                 std::uint64_t aNow);
  state::CommandResultT Abandon(const state::AbandonActionT& aCommand,
                                std::uint64_t aNow);
  state::CommandResultT Doubt(const state::DoubtActionT& aCommand,
                              std::uint64_t aNow);
  state::CommandResultT Resolve(const state::ResolveActionT& aCommand,
                                std::uint64_t aNow);
  state::CommandResultT LoseGateway(const state::GatewayGoneT& aCommand,
                                    std::uint64_t aNow);

  const state::ActionRecordT* Find(std::string_view aAccount,
                                   std::string_view aKey) const;
  std::vector<const state::ActionRecordT*> FindHeld(const std::string& aGateway,
                                                    std::uint64_t aEpoch) const;
  std::vector<std::string> ListHolders() const;
  std::size_t Count() const { return m_entries.size(); }
  std::size_t Bytes() const { return m_bytes; }
  std::uint64_t EvictedKeyUnixMs() const { return m_evictedKeyUnixMs; }
  std::uint64_t AttemptFloor() const { return m_attemptFloor; }

  // Visits the entries in the order in which Restore must be given them.
  void Visit(
    const std::function<void(const state::ActionRecordT&)>& aVisitor) const;
  // Adds an entry of an image; false when it is malformed or there already.
  bool Restore(state::ActionRecordT aRecord);
  void RestoreMarks(std::uint64_t aEvictedKeyUnixMs,
                    std::uint64_t aAttemptFloor);

private:
  struct Name
  {
    std::string_view m_account;
    std::string_view m_key;
    bool operator==(const Name&) const = default;
  };
  struct NameHash
  {
    using is_transparent = void; // NOLINT: the standard's name
    std::size_t operator()(const Name& aName) const;
    std::size_t operator()(const std::unique_ptr<ActionEntry>& aEntry) const;
  };
  struct NameEqual
  {
    using is_transparent = void; // NOLINT: the standard's name
    bool operator()(const std::unique_ptr<ActionEntry>& aLeft,
                    const std::unique_ptr<ActionEntry>& aRight) const;
    bool operator()(const Name& aLeft,
                    const std::unique_ptr<ActionEntry>& aRight) const;
    bool operator()(const std::unique_ptr<ActionEntry>& aLeft,
                    const Name& aRight) const;
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

  static Name NameOf(const state::ActionRecordT& aRecord);
  static bool IsFinished(state::ActionState aState);
  static bool IsHeld(state::ActionState aState);
  ActionEntry* Lookup(std::string_view aAccount, std::string_view aKey) const;
  state::CommandResultT ReserveNew(const state::ReserveActionT& aCommand,
                                   std::uint64_t aNow);
  state::CommandResultT ReserveAgain(ActionEntry& aEntry,
                                     const state::ReserveActionT& aCommand,
                                     std::uint64_t aNow);
  void Hold(ActionEntry& aEntry,
            const state::ReserveActionT& aCommand,
            std::uint64_t aNow);
  void Move(ActionEntry& aEntry, state::ActionState aState, std::uint64_t aNow);
  void StoreAnswer(ActionEntry& aEntry, const state::StoredAnswerT* aAnswer);
  void Link(ActionEntry& aEntry);
  void Unlink(ActionEntry& aEntry);
  void Recount(ActionEntry& aEntry);
  // Makes room for one entry; false when nothing may be evicted.
  bool MakeRoom(std::size_t aBytes, std::uint64_t aNow);
  void EvictOldest();

  StateLimits m_limits;
  std::unordered_set<std::unique_ptr<ActionEntry>, NameHash, NameEqual>
    m_entries;
  // Invariant: each entry is in exactly one of the next two lists, in order of
  // its last change of state.
  PhaseList m_open;     // Reserved, Dispatched, InDoubt: never evicted
  PhaseList m_finished; // Done, NotRun
  // Invariant: Reserved and Dispatched entries by gateway, in the order of
  // m_open.
  std::map<std::string, HolderList> m_held;
  std::size_t m_bytes = 0; // sum of the entries' shares
  // Invariant: no evicted key carries a later time or had a higher attempt.
  std::uint64_t m_evictedKeyUnixMs = 0;
  std::uint64_t m_attemptFloor = 0;
};

} // namespace parsleycove
