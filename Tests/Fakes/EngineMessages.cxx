// Steps, results and orders of the engine protocol.
#include "Fakes/EngineMessages.h"

#include <stdexcept>

#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

namespace parsleycove::fakes {

namespace {

using boost::json::object;

std::string
ReadText(const object& aObject, const char* aName)
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr ? boost::json::value_to<std::string>(*value) : "";
}

std::uint64_t
ReadNumber(const object& aObject, const char* aName)
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr ? value->to_number<std::uint64_t>() : 0;
}

} // namespace

StreamAttempt
ReadStreamAttempt(const object& aObject)
{
  return { boost::json::value_to<std::string>(aObject.at("stream")),
           aObject.at("attempt").to_number<std::uint64_t>() };
}

Step
ReadStep(const object& aObject)
{
  Step step;
  step.m_id = ReadStreamAttempt(aObject);
  step.m_position = aObject.at("position").to_number<std::uint64_t>();
  step.m_priority = static_cast<std::uint32_t>(ReadNumber(aObject, "priority"));
  step.m_seed = ReadNumber(aObject, "seed");
  const auto* tokens = aObject.if_contains("tokens");
  const auto& inputs = tokens != nullptr ? *tokens : aObject.at("hidden");
  step.m_inputs = boost::json::value_to<std::vector<std::uint64_t>>(inputs);
  if (step.m_inputs.empty() ||
      ReadNumber(aObject, "count") != step.m_inputs.size()) {
    throw std::invalid_argument("count is not the number of inputs");
  }
  return step;
}

EngineOrder
ReadOrder(const object& aObject)
{
  EngineOrder order;
  order.m_id = ReadText(aObject, "id");
  order.m_kind = ReadText(aObject, "kind");
  order.m_model = ReadText(aObject, "model");
  order.m_version = ReadText(aObject, "version");
  order.m_role = ReadText(aObject, "role");
  order.m_firstLayer =
    static_cast<std::uint32_t>(ReadNumber(aObject, "first_layer"));
  order.m_lastLayer =
    static_cast<std::uint32_t>(ReadNumber(aObject, "last_layer"));
  order.m_term = ReadNumber(aObject, "term");
  order.m_sequence = ReadNumber(aObject, "sequence");
  return order;
}

object
WriteResult(const StepResult& aResult)
{
  object result;
  result["stream"] = aResult.m_id.m_stream;
  result["attempt"] = aResult.m_id.m_attempt;
  result["position"] = aResult.m_position;
  result["status"] = NameOf(kStepStatusNames, aResult.m_status);
  if (aResult.m_status == StepStatus::Gap) {
    result["expected"] = aResult.m_expected;
  }
  if (aResult.m_status != StepStatus::Ok) {
    return result;
  }
  if (aResult.m_token) {
    result["token"] = aResult.m_token->m_id;
    result["text"] = aResult.m_token->m_text;
    result["end"] = aResult.m_token->m_end;
  } else {
    result["hidden"] = boost::json::value_from(aResult.m_hidden);
  }
  return result;
}

} // namespace parsleycove::fakes
