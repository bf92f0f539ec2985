// Decides which order to an engine may be sent now.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "StateGenerated.h"

namespace parsleycove {

struct OrderIssuerOptions
{
  Duration m_leaderLease = std::chrono::milliseconds(500);
  // An order not answered by then is given up by the sender's connection.
  Duration m_maxOrderFlight = std::chrono::seconds(5);
  // Loads from the weight store that may run at the same time.
  std::size_t m_maxLoads = 4;
  // A sent order that is not finished is repeated after this.
  Duration m_repeatAfter = std::chrono::seconds(10);
};

// What an engine reports about the order it follows.
struct EngineReadback
{
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_term = 0;
  std::uint64_t m_sequence = 0;
  std::string m_model;
  std::string m_version;
  std::uint32_t m_firstLayer = 0;
  std::uint32_t m_lastLayer = 0;
  std::string m_role;
};

// Work for the shell: read the states of these engines, send these orders.
struct OrderActions
{
  std::vector<state::EndpointRefT> m_readbacks;
  std::vector<state::EngineOrderT> m_orders;
};

// Fencing on the sender's side. An engine that checks fencing numbers refuses
// what is old; for one that does not, a new leader waits until no order of an
// earlier leader can still be under way, reads the engine's state back, and
// only then repeats the absolute order.
class OrderIssuer
{
public:
  explicit OrderIssuer(OrderIssuerOptions aOptions);

  void StartTerm(TimePoint aNow, std::uint64_t aTerm);
  void EndTerm();
  // Follows the pending orders of the state, most needed first; an order that
  // is no longer among them was superseded or done.
  void Follow(const state::ConfigImageT& aImage,
              const std::vector<std::string>& aMostNeededFirst);
  // What to do now; nothing unless the leader's lease runs.
  OrderActions TakeActions(TimePoint aNow, bool aHasLeaderLease);
  void NoteReadback(TimePoint aNow,
                    const std::string& aEndpoint,
                    const EngineReadback& aReadback);
  // The engine answered that it took the order, or the call failed.
  void NoteAccepted(const std::string& aOrder, std::uint64_t aSequence);
  void NoteFailed(const std::string& aOrder, std::uint64_t aSequence);
  // Orders that a readback showed to be carried out, for FinishOrder.
  std::vector<state::FinishOrderT> TakeFinished();
  TimePoint NextDeadline(TimePoint aNow) const;

private:
  struct Work
  {
    state::EngineOrderT m_order;
    bool m_checksFencing = false;
    bool m_readBack = false; // in this term
    bool m_sent = false;     // counts as a load while true
    std::size_t m_rank = 0;  // 0 is the most needed
    std::optional<TimePoint> m_readbackAt;
    std::optional<TimePoint> m_sentAt;
  };

  bool MayStart(TimePoint aNow, const Work& aWork) const;
  static bool IsLoad(const state::EngineOrderT& aOrder);
  std::size_t CountLoads() const;

  OrderIssuerOptions m_options;
  std::uint64_t m_term = 0; // 0: not a leader
  TimePoint m_quietAt{};    // no earlier leader's order lives past this
  std::map<std::string, Work> m_works; // by order id
  std::vector<state::FinishOrderT> m_finished;
};

} // namespace parsleycove
