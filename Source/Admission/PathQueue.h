// The requests of one service that wait at this VM for a path.
//
// Load pattern: a burst of less urgent work fills every path of a service
// beside urgent work. Requests that each poll for a path get the freed room by
// chance; here the most urgent one gets it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "Admission/DemandMeter.h"
#include "Admission/LevelQueue.h"

namespace parsleycove {

struct PathQueueSettings
{
  // Requests that wait at most; at least 1.
  std::size_t m_maxWaiting = 512;
  // A level that waits gets at least this part of its share of all started
  // tokens, in proportion to its demand.
  double m_floor = 0.25;
  // Largest part of the paths' room that is kept for more urgent work.
  double m_maxReserved = 1.0 / 3;
};

// Decides whose turn it is: the most urgent level first, fair turns of the
// client accounts within a level, the earliest latest start within an account.
// The floor goes before: of the tokens that start while a level waits, the
// level earns credit for m_floor of its part of the demand, and it is first
// when the credit pays for its next request.
//
// Not thread-safe; used by one thread.
//
// Invariant: at most m_maxWaiting tickets are linked.
class PathQueue
{
public:
  explicit PathQueue(PathQueueSettings aSettings = {});
  ~PathQueue();
  PathQueue(const PathQueue&) = delete;
  PathQueue& operator=(const PathQueue&) = delete;

  // Records the arrival of a request, which counts as demand of its level.
  void RecordArrival(TimePoint aNow, std::size_t aLevel, std::uint32_t aTokens);
  // Returns true if a request that does not wait may try for a path: no equally
  // or more urgent request waits, and no floor is due.
  bool MayStartAtOnce(TimePoint aNow, std::size_t aLevel);
  // Lets the ticket wait. If the queue is full, the ticket of the least urgent
  // level that is last in its account's order is displaced, which may be this
  // one.
  void Join(TimePoint aNow, PathTicket& aTicket, PathWait aWait);
  // Returns true if it is the ticket's turn to try for a path.
  bool MayTry(TimePoint aNow, const PathTicket& aTicket);
  // Ends the wait because the request starts, and charges its account.
  void Start(TimePoint aNow, PathTicket& aTicket);
  // Records the start of a request that did not wait.
  void RecordStart(TimePoint aNow, std::size_t aLevel, std::uint32_t aTokens);
  // Ends the wait without a start. Does nothing if the ticket does not wait.
  void Leave(PathTicket& aTicket);

  // Returns the part of the paths' room, from 0 to m_maxReserved, that new
  // requests of this level leave to more urgent ones.
  double ReservedAgainst(TimePoint aNow, std::size_t aLevel);
  // Returns true if the ticket's turn comes from the floor, so that nothing is
  // reserved against it.
  bool IsFloorTurn(TimePoint aNow, const PathTicket& aTicket);
  // Returns true if more urgent requests wait or have arrived within the last
  // second.
  bool HasMoreUrgent(TimePoint aNow, std::size_t aLevel);

  std::size_t Waiting() const { return m_byStart.size(); }
  std::size_t WaitingAt(std::size_t aLevel) const;
  // Returns how many requests of more urgent levels wait.
  std::size_t WaitingBefore(std::size_t aLevel) const;

private:
  LevelQueue& Level(std::size_t aLevel);
  // Ends the waits whose latest start has passed.
  void EndOverdue(TimePoint aNow);
  void Unlink(PathTicket& aTicket, TicketState aState);
  // Returns the ticket whose turn it is, or nullptr if none waits.
  PathTicket* Next();
  // Returns the level whose floor is due, or nullptr.
  LevelQueue* DueFloor();
  void AddFloorCredit(TimePoint aNow, double aTokens);
  void WakeNext();

  const PathQueueSettings m_settings;
  // By level; grows with the levels that requests have.
  std::deque<LevelQueue> m_levels;
  TicketsOfQueue m_byStart;
  DemandMeter m_demand;
};

} // namespace parsleycove
