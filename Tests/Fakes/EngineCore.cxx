// The streams, KV caches and orders of an engine stand-in, without I/O.
#include "Fakes/EngineCore.h"

#include <sstream>
#include <tuple>

#include <boost/json/array.hpp>
#include <boost/json/value_from.hpp>

namespace parsleycove::fakes {

namespace {

constexpr std::size_t kMaxCancelled = 10'000;

} // namespace

EngineCore::EngineCore(const EngineOptions& aOptions)
  : m_options(aOptions)
  , m_model(aOptions.m_model)
  , m_version(aOptions.m_version)
  , m_firstLayer(aOptions.m_firstLayer)
  , m_lastLayer(aOptions.m_lastLayer)
  , m_prefixes(aOptions.m_prefixCacheTokens)
{
}

EngineCore::Stream
EngineCore::MakeStream() const
{
  Stream stream;
  stream.m_layers.resize(m_lastLayer - m_firstLayer + 1);
  return stream;
}

StepOutcome
EngineCore::Run(const Step& aStep)
{
  StepOutcome outcome;
  outcome.m_result.m_id = aStep.m_id;
  outcome.m_result.m_position = aStep.m_position;
  if (m_cancelled.contains(aStep.m_id)) {
    outcome.m_result.m_status = StepStatus::Cancelled;
    return outcome;
  }
  auto found = m_streams.find(aStep.m_id);
  if (found == m_streams.end()) {
    if (m_leaving) {
      outcome.m_result.m_status = StepStatus::Refused;
      return outcome;
    }
    if (aStep.m_position != 0) {
      outcome.m_result.m_status = StepStatus::Gap;
      return outcome;
    }
    found = m_streams.emplace(aStep.m_id, MakeStream()).first;
  }
  Stream& stream = found->second;
  if (stream.m_last && stream.m_last->m_position == aStep.m_position &&
      stream.m_lastCount == aStep.m_inputs.size()) {
    outcome.m_result = *stream.m_last;
    return outcome;
  }
  if (stream.m_next != aStep.m_position) {
    outcome.m_result.m_status = StepStatus::Gap;
    outcome.m_result.m_expected = stream.m_next;
    return outcome;
  }
  outcome.m_paidPositions = aStep.m_inputs.size();
  if (aStep.m_position == 0) {
    outcome.m_paidPositions -= m_prefixes.Use(aStep.m_inputs);
  }
  outcome.m_result = Compute(aStep, stream);
  return outcome;
}

StepResult
EngineCore::Compute(const Step& aStep, Stream& aStream)
{
  StepResult result;
  result.m_id = aStep.m_id;
  result.m_position = aStep.m_position;
  for (const std::uint64_t input : aStep.m_inputs) {
    toy::Hidden hidden = input;
    for (std::uint32_t i = 0; i < aStream.m_layers.size(); ++i) {
      hidden = toy::RunLayer(
        m_firstLayer + i, aStream.m_next, hidden, aStream.m_layers[i]);
    }
    ++aStream.m_next;
    result.m_hidden.push_back(hidden);
  }
  if (m_lastLayer + 1 == m_options.m_modelLayers) {
    result.m_token =
      toy::PickToken(result.m_hidden.back(), aStream.m_next - 1, aStep.m_seed);
    result.m_hidden.clear();
  }
  aStream.m_last = result;
  aStream.m_lastCount = aStep.m_inputs.size();
  NoteRun(aStep);
  return result;
}

void
EngineCore::NoteRun(const Step& aStep)
{
  const auto [entry, added] = m_audit.try_emplace(aStep.m_id);
  if (added) {
    entry->second.m_firstLayer = m_firstLayer;
    entry->second.m_lastLayer = m_lastLayer;
    m_auditOrder.push_back(aStep.m_id);
  }
  std::vector<std::uint32_t>& ran = entry->second.m_ran;
  const std::size_t end = aStep.m_position + aStep.m_inputs.size();
  if (ran.size() < end) {
    ran.resize(end);
  }
  for (std::size_t place = aStep.m_position; place < end; ++place) {
    ++ran[place];
  }
  if (m_auditOrder.size() > m_options.m_auditStreams) {
    m_audit.erase(m_auditOrder.front());
    m_auditOrder.pop_front();
  }
}

void
EngineCore::Cancel(const StreamAttempt& aId)
{
  m_streams.erase(aId);
  if (!m_cancelled.insert(aId).second) {
    return;
  }
  m_cancelOrder.push_back(aId);
  if (m_cancelOrder.size() > kMaxCancelled) {
    m_cancelled.erase(m_cancelOrder.front());
    m_cancelOrder.pop_front();
  }
}

std::optional<ExportedCache>
EngineCore::Export(const StreamAttempt& aId) const
{
  const auto found = m_streams.find(aId);
  if (found == m_streams.end()) {
    return std::nullopt;
  }
  std::ostringstream state;
  state << m_firstLayer << ' ' << m_lastLayer;
  for (const toy::Accumulator accumulator : found->second.m_layers) {
    state << ' ' << accumulator;
  }
  return ExportedCache{ found->second.m_next, state.str() };
}

bool
EngineCore::Import(const StreamAttempt& aId, const ExportedCache& aCache)
{
  if (m_leaving) {
    return false;
  }
  std::istringstream state(aCache.m_state);
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  state >> first >> last;
  if (!state || first != m_firstLayer || last != m_lastLayer) {
    return false;
  }
  Stream stream = MakeStream();
  stream.m_next = aCache.m_position;
  for (toy::Accumulator& accumulator : stream.m_layers) {
    state >> accumulator;
  }
  if (!state) {
    return false;
  }
  m_streams[aId] = std::move(stream);
  return true;
}

bool
EngineCore::TakeOrder(const EngineOrder& aOrder)
{
  const bool old = std::tie(aOrder.m_term, aOrder.m_sequence) <
                   std::tie(m_lastOrder.m_term, m_lastOrder.m_sequence);
  if (old && m_options.m_checksFencing) {
    return false;
  }
  m_lastOrder = aOrder;
  m_orders.push_back(aOrder);
  if (aOrder.m_kind == "change_role") {
    m_role = aOrder.m_role;
  }
  if (aOrder.m_kind != "hold_layers") {
    return true;
  }
  const bool changes =
    aOrder.m_model != m_model || aOrder.m_version != m_version ||
    aOrder.m_firstLayer != m_firstLayer || aOrder.m_lastLayer != m_lastLayer;
  if (changes) {
    m_streams.clear(); // their KV caches belong to the layers held before
  }
  m_model = aOrder.m_model;
  m_version = aOrder.m_version;
  m_firstLayer = aOrder.m_firstLayer;
  m_lastLayer = aOrder.m_lastLayer;
  return true;
}

void
EngineCore::Describe(boost::json::object& aOut) const
{
  aOut["model"] = m_model;
  aOut["version"] = m_version;
  aOut["first_layer"] = m_firstLayer;
  aOut["last_layer"] = m_lastLayer;
  aOut["role"] = m_role;
}

boost::json::object
EngineCore::Audit() const
{
  boost::json::array streams;
  for (const auto& [id, entry] : m_audit) {
    boost::json::object row;
    row["stream"] = id.m_stream;
    row["attempt"] = id.m_attempt;
    row["first_layer"] = entry.m_firstLayer;
    row["last_layer"] = entry.m_lastLayer;
    row["ran"] = boost::json::value_from(entry.m_ran);
    streams.push_back(std::move(row));
  }
  boost::json::array orders;
  for (const EngineOrder& order : m_orders) {
    boost::json::object row;
    row["id"] = order.m_id;
    row["kind"] = order.m_kind;
    row["first_layer"] = order.m_firstLayer;
    row["last_layer"] = order.m_lastLayer;
    row["term"] = order.m_term;
    row["sequence"] = order.m_sequence;
    orders.push_back(std::move(row));
  }
  boost::json::object audit;
  audit["streams"] = std::move(streams);
  audit["orders"] = std::move(orders);
  return audit;
}

} // namespace parsleycove::fakes
