// Steps, results and orders of the engine protocol.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <boost/json/object.hpp>

#include "Base/EnumTable.h"
#include "Support/ToyModel.h"

namespace parsleycove::fakes {

enum class StepStatus
{
  Ok,
  Gap,
  Cancelled,
  Refused,
};

inline constexpr std::array<EnumName<StepStatus>, 4> kStepStatusNames{ {
  { StepStatus::Ok, "ok" },
  { StepStatus::Gap, "gap" },
  { StepStatus::Cancelled, "cancelled" },
  { StepStatus::Refused, "refused" },
} };

// Names one attempt of one stream.
struct StreamAttempt
{
  std::string m_stream;
  std::uint64_t m_attempt = 0;

  bool operator<(const StreamAttempt& aOther) const
  {
    return std::tie(m_stream, m_attempt) <
           std::tie(aOther.m_stream, aOther.m_attempt);
  }
};

struct Step
{
  StreamAttempt m_id;
  std::uint64_t m_position = 0;
  std::uint32_t m_priority = 0;
  std::uint64_t m_seed = 0;
  std::vector<std::uint64_t> m_inputs; // tokens or hidden
};

struct StepResult
{
  StreamAttempt m_id;
  std::uint64_t m_position = 0;
  StepStatus m_status = StepStatus::Ok;
  std::uint64_t m_expected = 0; // with Gap
  std::vector<toy::Hidden> m_hidden;
  std::optional<toy::Token> m_token; // of the last layer
};

struct EngineOrder
{
  std::string m_id;
  std::string m_kind;
  std::string m_model;
  std::string m_version;
  std::string m_role;
  std::uint32_t m_firstLayer = 0;
  std::uint32_t m_lastLayer = 0;
  std::uint64_t m_term = 0;
  std::uint64_t m_sequence = 0;
};

// These throw for a malformed body.
StreamAttempt
ReadStreamAttempt(const boost::json::object& aObject);
Step
ReadStep(const boost::json::object& aObject);
EngineOrder
ReadOrder(const boost::json::object& aObject);

boost::json::object
WriteResult(const StepResult& aResult);

} // namespace parsleycove::fakes
