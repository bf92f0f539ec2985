// JSON form of pipeline steps; see docs/integrate/engine-protocol.md.
#include "Gateway/EngineCodec.h"

#include <array>
#include <unordered_map>
#include <utility>

#include <boost/json.hpp>

#include "Base/EnumTable.h"

namespace parsleycove {

namespace json = boost::json;

namespace {

constexpr std::array<EnumName<EngineStepStatus>, 4> kStatusNames{ {
  { EngineStepStatus::Ok, "ok" },
  { EngineStepStatus::Gap, "gap" },
  { EngineStepStatus::Cancelled, "cancelled" },
  { EngineStepStatus::Refused, "refused" },
} };

json::object
MakeStep(const EngineStep& aStep)
{
  json::array inputs;
  inputs.reserve(aStep.m_inputs.size());
  for (const std::uint64_t input : aStep.m_inputs) {
    inputs.emplace_back(input);
  }
  json::object step{
    { "stream", aStep.m_stream },     { "attempt", aStep.m_attempt },
    { "position", aStep.m_position }, { "count", aStep.m_inputs.size() },
    { "priority", aStep.m_priority }, { "deadline_ms", aStep.m_deadlineMs },
    { "seed", aStep.m_seed }
  };
  step[aStep.m_isFirstStage ? "tokens" : "hidden"] = std::move(inputs);
  return step;
}

std::string
MakeKey(std::string_view aStream,
        std::uint64_t aAttempt,
        std::uint64_t aPosition)
{
  return std::string(aStream) + "/" + std::to_string(aAttempt) + "/" +
         std::to_string(aPosition);
}

// These throw boost::system::system_error on a missing or mistyped field.
std::uint64_t
NumberAt(const json::object& aObject, std::string_view aKey)
{
  return aObject.at(aKey).to_number<std::uint64_t>();
}

std::string_view
TextAt(const json::object& aObject, std::string_view aKey)
{
  const json::value& value = aObject.at(aKey);
  if (!value.is_string()) {
    throw std::invalid_argument(std::string(aKey) + " is not a text");
  }
  return value.get_string();
}

EngineLoad
ParseLoad(const json::object& aAnswer)
{
  const json::value* load = aAnswer.if_contains("load");
  if (!load || !load->is_object()) {
    return {};
  }
  const json::object& fields = load->get_object();
  return { NumberAt(fields, "queued"), NumberAt(fields, "running") };
}

EngineStepResult
ParseResult(const json::object& aFields, const EngineLoad& aLoad)
{
  EngineStepResult result;
  result.m_load = aLoad;
  const auto status = ValueOf(kStatusNames, TextAt(aFields, "status"));
  if (!status) {
    throw std::invalid_argument("unknown status");
  }
  result.m_status = *status;
  if (const json::value* hidden = aFields.if_contains("hidden")) {
    for (const json::value& output : hidden->as_array()) {
      result.m_hidden.push_back(output.to_number<std::uint64_t>());
    }
  }
  if (aFields.contains("token")) {
    EngineToken token{ NumberAt(aFields, "token"),
                       std::string(TextAt(aFields, "text")),
                       aFields.at("end").as_bool() };
    result.m_token = std::move(token);
  }
  return result;
}

bool
HasWhatTheStepAsked(const EngineStepResult& aResult, const EngineStep& aStep)
{
  const bool isComplete =
    aResult.m_token || aResult.m_hidden.size() == aStep.m_inputs.size();
  return aResult.m_status != EngineStepStatus::Ok || isComplete;
}

std::vector<EngineStepResult>
ParseAll(std::string_view aBody, const std::vector<const EngineStep*>& aSteps)
{
  const json::value document =
    json::parse(json::string_view(aBody.data(), aBody.size()));
  const json::object& answer = document.as_object();
  const EngineLoad load = ParseLoad(answer);
  std::unordered_map<std::string, EngineStepResult> byKey;
  for (const json::value& entry : answer.at("results").as_array()) {
    const json::object& fields = entry.as_object();
    std::string key = MakeKey(TextAt(fields, "stream"),
                              NumberAt(fields, "attempt"),
                              NumberAt(fields, "position"));
    byKey.insert_or_assign(std::move(key), ParseResult(fields, load));
  }
  std::vector<EngineStepResult> results;
  for (const EngineStep* step : aSteps) {
    const auto found =
      byKey.find(MakeKey(step->m_stream, step->m_attempt, step->m_position));
    if (found == byKey.end() || !HasWhatTheStepAsked(found->second, *step)) {
      throw std::invalid_argument("no result for stream " + step->m_stream);
    }
    results.push_back(std::move(found->second));
  }
  return results;
}

} // namespace

std::string
PrintSteps(const std::vector<const EngineStep*>& aSteps)
{
  json::array steps;
  steps.reserve(aSteps.size());
  for (const EngineStep* step : aSteps) {
    steps.emplace_back(MakeStep(*step));
  }
  return json::serialize(json::object{ { "steps", std::move(steps) } });
}

std::optional<std::vector<EngineStepResult>>
ParseStepResults(std::string_view aBody,
                 const std::vector<const EngineStep*>& aSteps,
                 EngineCodecReason& aReason)
{
  try {
    return ParseAll(aBody, aSteps);
  } catch (const std::exception& fault) {
    aReason.Set(EngineCodecError::Malformed,
                std::string("malformed answer to /engine/steps: ") +
                  fault.what());
    return std::nullopt;
  }
}

} // namespace parsleycove
