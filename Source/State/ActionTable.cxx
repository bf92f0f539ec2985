// Storage of the action ledger: lookup, order of eviction, holders.
#include "State/ActionTable.h"

#include <algorithm>
#include <utility>

#include "State/KeyTime.h"

namespace parsleycove {

namespace {

// Room for an entry, its places in lists and its endpoint, without texts.
constexpr std::size_t kEntryBytes = 512;
// Room for a stored answer without its texts.
constexpr std::size_t kAnswerBytes = 128;
// Bounds the work of one command.
constexpr int kMaxExpiredAtOnce = 8;
constexpr std::size_t kHashFactor = 1099511628211ULL;

bool
IsFinished(state::ActionState aState)
{
  return aState == state::ActionState::Done ||
         aState == state::ActionState::NotRun;
}

bool
IsHeld(state::ActionState aState)
{
  return aState == state::ActionState::Reserved ||
         aState == state::ActionState::Dispatched;
}

} // namespace

ActionTable::ActionTable(StateLimits aLimits)
  : m_limits(aLimits)
{
}

ActionTable::~ActionTable()
{
  m_held.clear();
  m_open.clear();
  m_finished.clear();
}

ActionEntry*
ActionTable::Find(std::string_view aAccount, std::string_view aKey) const
{
  const auto found = m_entries.find(Name{ aAccount, aKey });
  return found == m_entries.end() ? nullptr : found->get();
}

ActionEntry*
ActionTable::Add(state::ActionRecordT aRecord)
{
  auto entry = std::make_unique<ActionEntry>();
  entry->m_record = std::move(aRecord);
  const auto [position, added] = m_entries.insert(std::move(entry));
  if (!added) {
    return nullptr;
  }
  Link(**position);
  return position->get();
}

void
ActionTable::Update(ActionEntry& aEntry, const Mutation& aMutation)
{
  Unlink(aEntry);
  aMutation(aEntry.m_record);
  Link(aEntry);
}

bool
ActionTable::MakeRoom(std::size_t aBytes, std::uint64_t aNow)
{
  for (int count = 0; count < kMaxExpiredAtOnce; ++count) {
    if (!IsOldestPast(m_limits.m_maxRetentionMs, aNow)) {
      break;
    }
    EvictOldest();
  }
  while (m_entries.size() >= m_limits.m_maxActions ||
         m_bytes + aBytes > m_limits.m_maxActionBytes) {
    if (!IsOldestPast(m_limits.m_minRetentionMs, aNow)) {
      return false;
    }
    EvictOldest();
  }
  return true;
}

std::vector<ActionEntry*>
ActionTable::FindHeld(const std::string& aGateway, std::uint64_t aEpoch) const
{
  std::vector<ActionEntry*> result;
  const auto found = m_held.find(aGateway);
  if (found == m_held.end()) {
    return result;
  }
  for (const ActionEntry& entry : found->second) {
    if (entry.m_record.gateway_epoch <= aEpoch) {
      result.push_back(Find(entry.m_record.account, entry.m_record.key));
    }
  }
  return result;
}

std::vector<std::string>
ActionTable::ListHolders() const
{
  std::vector<std::string> result;
  for (const auto& [gateway, list] : m_held) {
    result.push_back(gateway);
  }
  return result;
}

std::vector<const state::ActionRecordT*>
ActionTable::FindOpenBefore(std::uint64_t aUnixMs, std::size_t aMost) const
{
  std::vector<const state::ActionRecordT*> result;
  for (const ActionEntry& entry : m_open) {
    if (result.size() == aMost || entry.m_record.unix_ms >= aUnixMs) {
      break;
    }
    result.push_back(&entry.m_record);
  }
  return result;
}

void
ActionTable::Visit(const Visitor& aVisitor) const
{
  for (const ActionEntry& entry : m_finished) {
    aVisitor(entry.m_record);
  }
  for (const ActionEntry& entry : m_open) {
    aVisitor(entry.m_record);
  }
}

void
ActionTable::RestoreMarks(std::uint64_t aEvictedKeyUnixMs,
                          std::uint64_t aAttemptFloor)
{
  m_evictedKeyUnixMs = aEvictedKeyUnixMs;
  m_attemptFloor = aAttemptFloor;
}

std::size_t
ActionTable::CountBytes(const state::ActionRecordT& aRecord)
{
  std::size_t result = kEntryBytes + aRecord.account.size() +
                       aRecord.key.size() + aRecord.fingerprint.size() +
                       aRecord.gateway.size() + aRecord.reason.size();
  if (aRecord.answer) {
    result += kAnswerBytes + aRecord.answer->content_type.size() +
              aRecord.answer->body.size();
  }
  return result;
}

std::size_t
ActionTable::NameHash::operator()(const Name& aName) const
{
  const std::hash<std::string_view> hash;
  return hash(aName.m_account) * kHashFactor ^ hash(aName.m_key);
}

std::size_t
ActionTable::NameHash::operator()(const Pointer& aEntry) const
{
  return (*this)(NameOf(*aEntry));
}

bool
ActionTable::NameEqual::operator()(const Pointer& aLeft,
                                   const Pointer& aRight) const
{
  return NameOf(*aLeft) == NameOf(*aRight);
}

bool
ActionTable::NameEqual::operator()(const Name& aLeft,
                                   const Pointer& aRight) const
{
  return aLeft == NameOf(*aRight);
}

bool
ActionTable::NameEqual::operator()(const Pointer& aLeft,
                                   const Name& aRight) const
{
  return NameOf(*aLeft) == aRight;
}

ActionTable::Name
ActionTable::NameOf(const ActionEntry& aEntry)
{
  return { aEntry.m_record.account, aEntry.m_record.key };
}

void
ActionTable::Link(ActionEntry& aEntry)
{
  const state::ActionRecordT& record = aEntry.m_record;
  (IsFinished(record.state) ? m_finished : m_open).push_back(aEntry);
  if (IsHeld(record.state)) {
    m_held[record.gateway].push_back(aEntry);
  }
  aEntry.m_bytes = CountBytes(record);
  m_bytes += aEntry.m_bytes;
}

void
ActionTable::Unlink(ActionEntry& aEntry)
{
  const state::ActionRecordT& record = aEntry.m_record;
  PhaseList& list = IsFinished(record.state) ? m_finished : m_open;
  list.erase(list.iterator_to(aEntry));
  if (aEntry.m_holderHook.is_linked()) {
    const auto holder = m_held.find(record.gateway);
    holder->second.erase(holder->second.iterator_to(aEntry));
    if (holder->second.empty()) {
      m_held.erase(holder);
    }
  }
  m_bytes -= aEntry.m_bytes;
}

bool
ActionTable::IsOldestPast(std::uint64_t aRetentionMs, std::uint64_t aNow) const
{
  return !m_finished.empty() &&
         m_finished.front().m_record.unix_ms + aRetentionMs <= aNow;
}

void
ActionTable::EvictOldest()
{
  ActionEntry& entry = m_finished.front();
  m_attemptFloor = std::max(m_attemptFloor, entry.m_record.attempt);
  if (const auto keyTime = ReadKeyTime(entry.m_record.key)) {
    m_evictedKeyUnixMs = std::max(m_evictedKeyUnixMs, *keyTime);
  }
  Unlink(entry);
  m_entries.erase(m_entries.find(NameOf(entry)));
}

} // namespace parsleycove
