// First answers to configuration changes, by change id.
#include "State/ChangeHistory.h"

#include <utility>

#include "Base/Digest.h"
#include "State/ConfigJson.h"

namespace parsleycove {

namespace {

// Shortens the text, without a part of a UTF-8 character at its end.
void
CutText(std::string& aText, std::size_t aMaxBytes)
{
  if (aText.size() <= aMaxBytes) {
    return;
  }
  std::size_t end = aMaxBytes;
  while (end > 0 && (static_cast<unsigned char>(aText[end]) & 0xC0U) == 0x80U) {
    --end;
  }
  aText.resize(end);
  aText.shrink_to_fit();
}

// The change id is held twice.
std::size_t
CountRecordBytes(const state::ChangeRecordT& aRecord)
{
  return sizeof(aRecord) + sizeof(*aRecord.result) +
         2 * aRecord.change_id.size() + aRecord.fingerprint.size() +
         aRecord.result->text.size();
}

} // namespace

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
    m_bytes -= CountRecordBytes(m_records.front());
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
  CutText(aRecord.result->text, kMaxAnswerTextBytes);
  m_bytes += CountRecordBytes(aRecord);
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
