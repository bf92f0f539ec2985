// First answers to configuration changes, by change id.
#include "State/ChangeHistory.h"

#include <utility>

#include "Base/Digest.h"
#include "State/ConfigJson.h"

namespace parsleycove {

ChangeHistory::ChangeHistory(std::size_t aMaxRecords)
  : m_maxRecords(aMaxRecords)
{
}

std::optional<state::CommandResultT>
ChangeHistory::Answer(const std::string& aChangeId,
                      const std::string& aFingerprint) const
{
  const auto found = m_positions.find(aChangeId);
  if (found == m_positions.end()) {
    return std::nullopt;
  }
  const state::ChangeRecordT& record = m_records[found->second - m_dropped];
  if (record.fingerprint != aFingerprint) {
    state::CommandResultT result;
    result.code = state::ResultCode::Invalid;
    result.text = "change_id '" + aChangeId +
                  "': change id reused with another body, expected a new one";
    return result;
  }
  state::CommandResultT result = *record.result;
  if (result.code == state::ResultCode::Ok) {
    result.code = state::ResultCode::Duplicate;
  }
  return result;
}

void
ChangeHistory::Remember(state::ChangeRecordT aRecord)
{
  if (!Restore(std::move(aRecord))) {
    return;
  }
  while (m_records.size() > m_maxRecords) {
    m_positions.erase(m_records.front().change_id);
    m_records.pop_front();
    ++m_dropped;
  }
}

bool
ChangeHistory::Restore(state::ChangeRecordT aRecord)
{
  const std::uint64_t position = m_dropped + m_records.size();
  if (!aRecord.result ||
      !m_positions.emplace(aRecord.change_id, position).second) {
    return false;
  }
  m_records.push_back(std::move(aRecord));
  return true;
}

std::string
FingerprintOf(const state::ApplyChangeT& aCommand)
{
  const std::string change =
    aCommand.change ? PrintConfigChange(*aCommand.change) : std::string();
  return Sha256Hex(std::to_string(aCommand.base_revision) + '\n' +
                   aCommand.operator_name + '\n' + change);
}

} // namespace parsleycove
