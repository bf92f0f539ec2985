// The ledger of calls that may run at most once.
#include "State/ActionLedger.h"

#include <memory>
#include <utility>

#include "State/KeyTime.h"
#include "State/LedgerResults.h"

namespace parsleycove {

namespace {

using state::ActionState;
using state::ResultCode;

constexpr std::size_t kMaxKeyLength = 255;
constexpr std::size_t kMaxAccountLength = 64;
constexpr std::size_t kMaxFingerprintLength = 64;
constexpr std::size_t kMaxReasonLength = 256;

// Checks the fields of a reservation; empty when they are fine.
std::string
FindReserveFault(const state::ReserveActionT& aCommand)
{
  if (aCommand.account.empty() || aCommand.account.size() > kMaxAccountLength) {
    return "account has " + std::to_string(aCommand.account.size()) +
           " characters, expected 1 to " + std::to_string(kMaxAccountLength);
  }
  if (aCommand.key.empty() || aCommand.key.size() > kMaxKeyLength) {
    return "key has " + std::to_string(aCommand.key.size()) +
           " characters, expected 1 to " + std::to_string(kMaxKeyLength);
  }
  if (aCommand.fingerprint.empty() ||
      aCommand.fingerprint.size() > kMaxFingerprintLength) {
    return "fingerprint has " + std::to_string(aCommand.fingerprint.size()) +
           " characters, expected 1 to " +
           std::to_string(kMaxFingerprintLength);
  }
  if (aCommand.gateway.empty() || aCommand.gateway.size() > kMaxAccountLength) {
    return "gateway has " + std::to_string(aCommand.gateway.size()) +
           " characters, expected 1 to " + std::to_string(kMaxAccountLength);
  }
  return {};
}

} // namespace

ActionLedger::ActionLedger(StateLimits aLimits)
  : m_limits(aLimits)
  , m_table(aLimits)
{
}

state::CommandResultT
ActionLedger::Reserve(const state::ReserveActionT& aCommand, std::uint64_t aNow)
{
  if (std::string fault = FindReserveFault(aCommand); !fault.empty()) {
    return RefuseAction(ResultCode::Invalid, std::move(fault));
  }
  ActionEntry* entry = m_table.Find(aCommand.account, aCommand.key);
  if (entry == nullptr) {
    return ReserveNew(aCommand, aNow);
  }
  if (entry->m_record.fingerprint != aCommand.fingerprint) {
    return RefuseAction(
      ResultCode::KeyReused,
      "key '" + aCommand.key +
        "': used with another request, expected a key of its own");
  }
  return ReserveAgain(*entry, aCommand, aNow);
}

state::CommandResultT
ActionLedger::Dispatch(const state::DispatchActionT& aCommand,
                       std::uint64_t aNow)
{
  ActionEntry* entry = m_table.Find(aCommand.account, aCommand.key);
  if (entry == nullptr) {
    return RefuseMissingKey(aCommand.key);
  }
  const state::ActionRecordT& record = entry->m_record;
  const bool open = record.state == ActionState::Reserved ||
                    record.state == ActionState::Dispatched;
  if (record.attempt != aCommand.attempt || !open) {
    return RefuseStaleAttempt(*entry, aCommand.attempt);
  }
  m_table.Update(*entry, [&](state::ActionRecordT& aRecord) {
    aRecord.state = ActionState::Dispatched;
    aRecord.unix_ms = aNow;
    aRecord.endpoint.reset();
    if (aCommand.endpoint) {
      aRecord.endpoint =
        std::make_unique<state::EndpointRefT>(*aCommand.endpoint);
    }
  });
  return ReportToOwner(*entry);
}

state::CommandResultT
ActionLedger::Complete(const state::CompleteActionT& aCommand,
                       std::uint64_t aNow)
{
  ActionEntry* entry = m_table.Find(aCommand.account, aCommand.key);
  if (entry == nullptr) {
    return RefuseMissingKey(aCommand.key);
  }
  const state::ActionRecordT& record = entry->m_record;
  if (record.attempt != aCommand.attempt) {
    return RefuseStaleAttempt(*entry, aCommand.attempt);
  }
  if (record.state == ActionState::Done) {
    return ReportEntry(*entry, ResultCode::Duplicate, "done already");
  }
  if (record.state != ActionState::Dispatched &&
      record.state != ActionState::InDoubt) {
    return RefuseStaleAttempt(*entry, aCommand.attempt);
  }
  Finish(*entry, aCommand.answer.get(), {}, aNow);
  return ReportEntry(*entry);
}

state::CommandResultT
ActionLedger::Abandon(const state::AbandonActionT& aCommand, std::uint64_t aNow)
{
  ActionEntry* entry = m_table.Find(aCommand.account, aCommand.key);
  if (entry == nullptr) {
    return RefuseMissingKey(aCommand.key);
  }
  const state::ActionRecordT& record = entry->m_record;
  if (record.attempt != aCommand.attempt || record.state == ActionState::Done) {
    return RefuseStaleAttempt(*entry, aCommand.attempt);
  }
  if (record.state == ActionState::NotRun) {
    return ReportEntry(*entry, ResultCode::Duplicate, "not run already");
  }
  const bool certain = record.state == ActionState::Reserved ||
                       aCommand.not_sent || aCommand.service_word;
  if (!certain) {
    return ReportEntry(*entry,
                       ResultCode::Invalid,
                       "key '" + aCommand.key +
                         "': dispatched, expected not_sent or service_word");
  }
  EndAsNotRun(*entry, aCommand.reason, aNow);
  return ReportEntry(*entry);
}

state::CommandResultT
ActionLedger::Doubt(const state::DoubtActionT& aCommand, std::uint64_t aNow)
{
  ActionEntry* entry = m_table.Find(aCommand.account, aCommand.key);
  if (entry == nullptr) {
    return RefuseMissingKey(aCommand.key);
  }
  const state::ActionRecordT& record = entry->m_record;
  if (record.attempt != aCommand.attempt) {
    return RefuseStaleAttempt(*entry, aCommand.attempt);
  }
  if (record.state == ActionState::InDoubt) {
    return ReportEntry(*entry, ResultCode::Duplicate, "in doubt already");
  }
  if (record.state != ActionState::Dispatched) {
    return RefuseStaleAttempt(*entry, aCommand.attempt);
  }
  Move(*entry, ActionState::InDoubt, aNow);
  return ReportEntry(*entry);
}

state::CommandResultT
ActionLedger::Resolve(const state::ResolveActionT& aCommand, std::uint64_t aNow)
{
  if (aCommand.operator_name.empty()) {
    return RefuseAction(
      ResultCode::Invalid,
      "operator_name is empty, expected who resolves the action");
  }
  ActionEntry* entry = m_table.Find(aCommand.account, aCommand.key);
  if (entry == nullptr) {
    return RefuseMissingKey(aCommand.key);
  }
  const state::ActionRecordT& record = entry->m_record;
  if (aCommand.attempt != 0 && aCommand.attempt != record.attempt) {
    return RefuseStaleAttempt(*entry, aCommand.attempt);
  }
  const ActionState outcome =
    aCommand.ran ? ActionState::Done : ActionState::NotRun;
  if (record.state == outcome) {
    return ReportEntry(*entry, ResultCode::Duplicate, "resolved already");
  }
  if (record.state != ActionState::InDoubt) {
    return RefuseStaleAttempt(*entry, record.attempt);
  }
  const std::string reason = "resolved by operator " + aCommand.operator_name;
  if (aCommand.ran) {
    Finish(*entry, aCommand.answer.get(), reason, aNow);
  } else {
    EndAsNotRun(*entry, reason, aNow);
  }
  return ReportEntry(*entry);
}

state::CommandResultT
ActionLedger::LoseGateway(const state::GatewayGoneT& aCommand,
                          std::uint64_t aNow)
{
  for (ActionEntry* entry :
       m_table.FindHeld(aCommand.gateway, aCommand.gateway_epoch)) {
    if (entry->m_record.state == ActionState::Reserved) {
      EndAsNotRun(*entry, "gateway " + aCommand.gateway + " is gone", aNow);
    } else {
      Move(*entry, ActionState::InDoubt, aNow);
    }
  }
  return {};
}

const state::ActionRecordT*
ActionLedger::Find(std::string_view aAccount, std::string_view aKey) const
{
  const ActionEntry* entry = m_table.Find(aAccount, aKey);
  return entry == nullptr ? nullptr : &entry->m_record;
}

bool
ActionLedger::Restore(state::ActionRecordT aRecord)
{
  const bool whole = !aRecord.account.empty() && !aRecord.key.empty() &&
                     aRecord.state <= ActionState::MAX && aRecord.attempt > 0;
  return whole && m_table.Add(std::move(aRecord)) != nullptr;
}

state::CommandResultT
ActionLedger::ReserveNew(const state::ReserveActionT& aCommand,
                         std::uint64_t aNow)
{
  if (const auto keyTime = ReadKeyTime(aCommand.key)) {
    if (*keyTime > aNow + m_limits.m_maxKeyLeadMs) {
      return RefuseAction(
        ResultCode::Invalid,
        "key '" + aCommand.key +
          "': carries a time in the future, expected the time of "
          "its first use");
    }
    if (*keyTime + m_limits.m_maxRetentionMs < aNow ||
        *keyTime <= m_table.EvictedKeyUnixMs()) {
      return RefuseAction(
        ResultCode::KeyExpired,
        "key '" + aCommand.key +
          "': older than the ledger's retention; not run now, "
          "earlier uses unknown");
    }
  }
  state::ActionRecordT record;
  record.account = aCommand.account;
  record.key = aCommand.key;
  record.fingerprint = aCommand.fingerprint;
  record.state = ActionState::Reserved;
  record.gateway = aCommand.gateway;
  record.gateway_epoch = aCommand.gateway_epoch;
  record.unix_ms = aNow;
  if (!m_table.MakeRoom(ActionTable::CountBytes(record), aNow)) {
    return RefuseAction(
      ResultCode::LedgerFull,
      "ledger: " + std::to_string(m_table.Count()) +
        " actions within retention, expected room for one more");
  }
  record.attempt = m_table.AttemptFloor() + 1;
  return ReportToOwner(*m_table.Add(std::move(record)));
}

state::CommandResultT
ActionLedger::ReserveAgain(ActionEntry& aEntry,
                           const state::ReserveActionT& aCommand,
                           std::uint64_t aNow)
{
  const state::ActionRecordT& record = aEntry.m_record;
  // Not run is final for its key: a call that was delayed on its way could
  // otherwise still run after the caller was told. A new try has a new key.
  if (record.state != ActionState::Reserved) {
    return ReportEntry(aEntry);
  }
  if (record.gateway != aCommand.gateway ||
      record.gateway_epoch < aCommand.gateway_epoch) {
    return TakeOver(aEntry, aCommand, aNow);
  }
  // A late proposal of an earlier process of the same VM takes nothing over.
  return record.gateway_epoch == aCommand.gateway_epoch ? ReportToOwner(aEntry)
                                                        : ReportEntry(aEntry);
}

state::CommandResultT
ActionLedger::TakeOver(ActionEntry& aEntry,
                       const state::ReserveActionT& aCommand,
                       std::uint64_t aNow)
{
  m_table.Update(aEntry, [&](state::ActionRecordT& aRecord) {
    aRecord.state = ActionState::Reserved;
    aRecord.unix_ms = aNow;
    aRecord.gateway = aCommand.gateway;
    aRecord.gateway_epoch = aCommand.gateway_epoch;
    aRecord.endpoint.reset();
    aRecord.reason.clear();
    ++aRecord.attempt;
  });
  return ReportToOwner(aEntry);
}

void
ActionLedger::Move(ActionEntry& aEntry,
                   state::ActionState aState,
                   std::uint64_t aNow)
{
  m_table.Update(aEntry, [&](state::ActionRecordT& aRecord) {
    aRecord.state = aState;
    aRecord.unix_ms = aNow;
  });
}

void
ActionLedger::Finish(ActionEntry& aEntry,
                     const state::StoredAnswerT* aAnswer,
                     const std::string& aReason,
                     std::uint64_t aNow)
{
  m_table.Update(aEntry, [&](state::ActionRecordT& aRecord) {
    aRecord.state = ActionState::Done;
    aRecord.unix_ms = aNow;
    aRecord.reason = aReason.substr(0, kMaxReasonLength);
    aRecord.answer = aAnswer == nullptr
                       ? std::make_unique<state::StoredAnswerT>()
                       : std::make_unique<state::StoredAnswerT>(*aAnswer);
    if (aRecord.answer->body.size() > m_limits.m_maxAnswerBytes) {
      aRecord.answer->body = std::string();
      aRecord.reason += aRecord.reason.empty() ? "" : "; ";
      aRecord.reason += "answer too long, body not stored";
    }
  });
}

void
ActionLedger::EndAsNotRun(ActionEntry& aEntry,
                          const std::string& aReason,
                          std::uint64_t aNow)
{
  m_table.Update(aEntry, [&](state::ActionRecordT& aRecord) {
    aRecord.state = ActionState::NotRun;
    aRecord.unix_ms = aNow;
    aRecord.reason = aReason.substr(0, kMaxReasonLength);
  });
}

} // namespace parsleycove
