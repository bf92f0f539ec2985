// A model of two gateways that use the ledger, for enumerating interleavings.
#include "State/LedgerModel.h"

#include <numeric>

namespace parsleycove::test {

std::string
ModelWorld::Name() const
{
  std::string name;
  if (m_record) {
    name += std::to_string(static_cast<int>(m_record->state)) + "," +
            std::to_string(m_record->attempt) + "," + m_record->gateway +
            std::to_string(m_record->gateway_epoch) +
            (m_record->answer ? m_record->answer->body : "");
  }
  for (const ModelGateway& gateway : m_gateways) {
    name += "|" + std::to_string(static_cast<int>(gateway.m_step)) + "," +
            std::to_string(gateway.m_attempt) + (gateway.m_gone ? "g" : "");
  }
  for (std::size_t attempt = 0; attempt < kMaxAttempts; ++attempt) {
    name += "|" + std::to_string(static_cast<int>(m_calls[attempt])) +
            std::to_string(m_runs[attempt]) +
            (m_toldNotRun[attempt] ? "n" : "");
  }
  name += "|" + m_toldAnswer + "|" + std::to_string(m_lostLeft) +
          std::to_string(m_lateLeft);
  for (const LateProposal& late : m_late) {
    name += "|" + late.m_name;
  }
  return name;
}

std::string
ModelWorld::FindFault() const
{
  const int runs = std::accumulate(m_runs.begin(), m_runs.end(), 0);
  if (runs > 1) {
    return "ran twice: " + m_trace;
  }
  // Not run holds for the key, not just for the attempt: a call that was
  // delayed on its way may still arrive after the caller was told.
  for (const bool told : m_toldNotRun) {
    if (told && runs > 0) {
      return "ran, but not run was told: " + m_trace;
    }
  }
  if (m_toldAnswer.find(" then ") != std::string::npos) {
    return "two answers were told: " + m_trace;
  }
  const bool done = m_record && m_record->state == state::ActionState::Done;
  if (!m_toldAnswer.empty() &&
      (!done || m_record->answer->body != m_toldAnswer)) {
    return "an answer was told and then lost: " + m_trace;
  }
  return {};
}

} // namespace parsleycove::test
