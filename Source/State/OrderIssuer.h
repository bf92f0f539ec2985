// Decides which order to an engine may be sent now.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "State/EngineReadback.h"
#include "StateGenerated.h"

namespace parsleycove {

struct OrderIssuerOptions
{
  Duration m_leaderLease = std::chrono::milliseconds(500);
  // From the decision to send an order to its end at the engine: connection
  // and call time-outs of the sender together.
  Duration m_maxOrderFlight = std::chrono::seconds(5);
  // Loads from the weight store that may run at the same time.
  std::size_t m_maxLoads = 4;
  // A readback, a failed order or an untold end is repeated after this.
  Duration m_repeatAfter = std::chrono::seconds(2);
};

// Work for the shell: read the states of these engines, send these orders.
struct OrderActions
{
  std::vector<state::EndpointRefT> m_readbacks;
  std::vector<state::EngineOrderT> m_orders;
};

// Fencing on the sender's side.
//
// An engine that checks fencing numbers refuses what is old. For one that does
// not, a new leader waits until no order of an earlier leader can still be
// under way, reads the engine's state back and only then repeats the absolute
// order; and it sends such an engine nothing while an unanswered order of its
// own may still be under way.
class OrderIssuer
{
public:
  explicit OrderIssuer(OrderIssuerOptions aOptions);

  void StartTerm(TimePoint aNow, std::uint64_t aTerm);
  void EndTerm();
  // Follows the pending orders of the state; aMostNeededFirst lists endpoint
  // ids. An order that is no longer pending was superseded, done or dropped.
  void Follow(const state::ConfigImageT& aImage,
              const std::vector<std::string>& aMostNeededFirst);
  // What to do now; nothing unless the leader's lease runs.
  OrderActions TakeActions(TimePoint aNow, bool aHasLeaderLease);
  void NoteReadback(TimePoint aNow,
                    const std::string& aEndpoint,
                    const EngineReadback& aReadback);
  // The engine answered that it took the order.
  void NoteAccepted(const std::string& aOrder, std::uint64_t aSequence);
  // The call failed: the order may still be under way.
  void NoteFailed(const std::string& aOrder, std::uint64_t aSequence);
  // Orders that a readback showed to be carried out, for FinishOrder; an order
  // is returned again later while it is still pending.
  std::vector<state::FinishOrderT> TakeFinished(TimePoint aNow);
  // When TakeActions or TakeFinished is next worth calling.
  TimePoint NextDeadline(TimePoint aNow) const;

private:
  struct Work
  {
    state::EngineOrderT m_order;
    bool m_checksFencing = false;
    std::size_t m_rank = 0; // 0 is the most needed
    // All of the following are of this term.
    bool m_readBack = false; // the engine's state was read
    bool m_loading = false;  // takes a share of the weight store's rate
    bool m_accepted = false;
    bool m_carriedOut = false;
    TimePoint m_nextReadback{};
    TimePoint m_nextSend{};
    TimePoint m_nextTold{};
  };
  // An unanswered order to an engine that does not check fencing numbers.
  struct Flight
  {
    std::string m_order;
    std::uint64_t m_sequence = 0;
    TimePoint m_endsAt{};
  };

  static bool IsLoad(const state::EngineOrderT& aOrder);
  std::vector<Work*> SortByNeed();
  std::size_t CountLoads() const;
  bool NeedsReadback(TimePoint aNow, const Work& aWork) const;
  bool MaySend(TimePoint aNow, const Work& aWork) const;
  void Send(TimePoint aNow, Work& aWork, OrderActions& aActions);
  Work* FindWork(const std::string& aOrder, std::uint64_t aSequence);

  OrderIssuerOptions m_options;
  std::uint64_t m_term = 0; // 0: not a leader
  TimePoint m_quietAt{};    // no earlier leader's order lives past this
  std::map<std::string, Work> m_works;     // by order id
  std::map<std::string, Flight> m_flights; // by endpoint id
};

} // namespace parsleycove
