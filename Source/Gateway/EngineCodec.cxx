// JSON form of pipeline steps; see docs/integrate/engine-protocol.md.
#include "Gateway/EngineCodec.h"

#include <stdexcept>
#include <unordered_map>
#include <utility>

#include <boost/json.hpp>

#include "Base/EnumTable.h"

namespace parsleycove {

namespace json = boost::json;

namespace {

// Activations pass through as the JSON text they came in.
json::value
ParseText(std::string_view aText)
{
  return json::parse(json::string_view(aText.data(), aText.size()));
}

json::object
MakeStep(const StepCall& aCall)
{
  const EngineStep& step = aCall.m_step;
  json::object fields{
    { "stream", aCall.m_stream },     { "attempt", step.m_attempt },
    { "position", step.m_position },  { "count", step.m_count },
    { "priority", aCall.m_priority }, { "deadline_ms", aCall.m_deadlineMs },
    { "seed", aCall.m_seed }
  };
  if (step.m_tokens.empty()) {
    fields["hidden"] = ParseText(step.m_hidden);
  } else {
    fields["tokens"] = json::value_from(step.m_tokens);
  }
  return fields;
}

std::string
MakeKey(std::string_view aStream, std::uint64_t aAttempt, std::uint64_t aPlace)
{
  return std::string(aStream) + "/" + std::to_string(aAttempt) + "/" +
         std::to_string(aPlace);
}

// These throw on a missing or mistyped field.
template<typename Number>
Number
NumberAt(const json::object& aObject, std::string_view aKey)
{
  return aObject.at(aKey).to_number<Number>();
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

void
ParseLoad(const json::object& aBody, StepAnswer& aAnswer)
{
  const json::value* load = aBody.if_contains("load");
  if (load && load->is_object()) {
    const json::object& fields = load->get_object();
    aAnswer.m_queued = NumberAt<std::uint32_t>(fields, "queued");
    aAnswer.m_running = NumberAt<std::uint32_t>(fields, "running");
  }
}

StepResult
ParseResult(const json::object& aFields)
{
  StepResult result;
  result.m_attempt = NumberAt<std::uint32_t>(aFields, "attempt");
  result.m_position = NumberAt<std::uint32_t>(aFields, "position");
  const auto status = ValueOf(kStepStatusNames, TextAt(aFields, "status"));
  if (!status) {
    throw std::invalid_argument("unknown status");
  }
  result.m_status = *status;
  if (const json::value* hidden = aFields.if_contains("hidden")) {
    result.m_hidden = json::serialize(*hidden);
  }
  if (aFields.contains("token")) {
    result.m_token = NumberAt<std::uint32_t>(aFields, "token");
    result.m_text = TextAt(aFields, "text");
    result.m_end = aFields.at("end").as_bool();
  }
  const bool isEmpty = result.m_hidden.empty() && !aFields.contains("token");
  if (result.m_status == StepStatus::Ok && isEmpty) {
    throw std::invalid_argument("a result has neither hidden nor token");
  }
  return result;
}

std::vector<StepAnswer>
ParseAll(std::string_view aBody, const std::vector<const StepCall*>& aCalls)
{
  const json::value document = ParseText(aBody);
  const json::object& body = document.as_object();
  StepAnswer common;
  ParseLoad(body, common);
  std::unordered_map<std::string, StepResult> byKey;
  for (const json::value& entry : body.at("results").as_array()) {
    const json::object& fields = entry.as_object();
    StepResult result = ParseResult(fields);
    std::string key =
      MakeKey(TextAt(fields, "stream"), result.m_attempt, result.m_position);
    byKey.insert_or_assign(std::move(key), std::move(result));
  }
  std::vector<StepAnswer> answers;
  for (const StepCall* call : aCalls) {
    const EngineStep& step = call->m_step;
    const auto found =
      byKey.find(MakeKey(call->m_stream, step.m_attempt, step.m_position));
    if (found == byKey.end()) {
      throw std::invalid_argument("no result for stream " + call->m_stream);
    }
    common.m_result = std::move(found->second);
    answers.push_back(common);
  }
  return answers;
}

} // namespace

std::string
PrintSteps(const std::vector<const StepCall*>& aCalls)
{
  json::array steps;
  steps.reserve(aCalls.size());
  for (const StepCall* call : aCalls) {
    steps.emplace_back(MakeStep(*call));
  }
  return json::serialize(json::object{ { "steps", std::move(steps) } });
}

std::optional<std::vector<StepAnswer>>
ParseStepResults(std::string_view aBody,
                 const std::vector<const StepCall*>& aCalls,
                 EngineCodecReason& aReason)
{
  try {
    return ParseAll(aBody, aCalls);
  } catch (const std::exception& fault) {
    aReason.Set(EngineCodecError::Malformed,
                std::string("malformed answer to /engine/steps: ") +
                  fault.what());
    return std::nullopt;
  }
}

} // namespace parsleycove
