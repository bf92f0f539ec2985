// The streams, KV caches and orders of an engine stand-in, without I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "Fakes/EngineMessages.h"
#include "Fakes/EngineOptions.h"
#include "Fakes/PrefixCache.h"

namespace parsleycove::fakes {

// What running a step came to and how many positions it has to pay for.
struct StepOutcome
{
  StepResult m_result;
  std::size_t m_paidPositions = 0;
};

// A stream's KV cache as it leaves for another engine.
struct ExportedCache
{
  std::uint64_t m_position = 0;
  std::string m_state;
};

class EngineCore
{
public:
  explicit EngineCore(const EngineOptions& aOptions);

  StepOutcome Run(const Step& aStep);
  void Cancel(const StreamAttempt& aId);
  std::optional<ExportedCache> Export(const StreamAttempt& aId) const;
  // False: the state does not fit these layers, or the engine is leaving.
  bool Import(const StreamAttempt& aId, const ExportedCache& aCache);
  // False: the order carries an old fencing number.
  bool TakeOrder(const EngineOrder& aOrder);

  // From now on only streams that are known here run on.
  void Leave() { m_leaving = true; }
  bool HasStreams() const { return !m_streams.empty(); }

  std::uint32_t FirstLayer() const { return m_firstLayer; }
  std::uint32_t LastLayer() const { return m_lastLayer; }
  PrefixCache& Prefixes() { return m_prefixes; }
  // What the announcement and GET /engine/state say about what is held.
  void Describe(boost::json::object& aOut) const;
  const EngineOrder& LastOrder() const { return m_lastOrder; }
  boost::json::object Audit() const;

private:
  struct Stream
  {
    std::uint64_t m_next = 0; // the position that may run next
    std::vector<toy::Accumulator> m_layers;
    std::optional<StepResult> m_last;
    std::size_t m_lastCount = 0;
  };
  // How often each position ran through all layers of the range.
  struct AuditEntry
  {
    std::uint32_t m_firstLayer = 0;
    std::uint32_t m_lastLayer = 0;
    std::vector<std::uint32_t> m_ran;
  };

  StepResult Compute(const Step& aStep, Stream& aStream);
  void NoteRun(const Step& aStep);
  Stream MakeStream() const;

  const EngineOptions& m_options;
  std::string m_model;
  std::string m_version;
  std::string m_role;
  std::uint32_t m_firstLayer;
  std::uint32_t m_lastLayer;
  bool m_leaving = false;
  std::map<StreamAttempt, Stream> m_streams;
  std::set<StreamAttempt> m_cancelled;
  std::deque<StreamAttempt> m_cancelOrder; // as m_cancelled, oldest first
  PrefixCache m_prefixes;
  EngineOrder m_lastOrder;
  std::vector<EngineOrder> m_orders;
  std::map<StreamAttempt, AuditEntry> m_audit;
  std::deque<StreamAttempt> m_auditOrder; // as m_audit, oldest first
};

} // namespace parsleycove::fakes
