// Replays of loads that compete for paths, with and without the queue.
#include "Admission/PathQueue.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

const TimePoint kStart(std::chrono::seconds(1000));
constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr std::uint32_t kTokens = 1000;

struct ReplayedRequest
{
  std::size_t m_level = 0;
  std::string m_account;
  TimePoint m_arrival;
  // Unset while it waits; not set for a refused request.
  std::optional<TimePoint> m_start;
  bool m_isOver = false;
  PathTicket m_ticket;
};

// One service with a fixed number of places, each held for about half a second.
class Replay
{
public:
  static constexpr std::size_t kPlaces = 20;
  static constexpr Duration kPatience = std::chrono::milliseconds(250);

  explicit Replay(bool aHasQueue, PathQueueSettings aSettings = {})
    : m_hasQueue(aHasQueue)
    , m_queue(aSettings)
  {
  }
  void Arrive(std::size_t aLevel, const std::string& aAccount, int aCount = 1)
  {
    for (int i = 0; i < aCount; ++i) {
      ReplayedRequest& request = m_requests.emplace_back();
      request.m_level = aLevel;
      request.m_account = aAccount;
      request.m_arrival = m_now;
      m_queue.RecordArrival(m_now, aLevel, kTokens);
    }
  }
  // Lets every request that waits poll once, in an order that changes.
  void Tick()
  {
    std::erase_if(m_ends, [this](TimePoint aEnd) { return aEnd <= m_now; });
    std::vector<ReplayedRequest*> waiting;
    for (ReplayedRequest& request : m_requests) {
      if (!request.m_isOver) {
        waiting.push_back(&request);
      }
    }
    if (!waiting.empty()) {
      std::rotate(waiting.begin(),
                  waiting.begin() + m_ticks * 7 % waiting.size(),
                  waiting.end());
    }
    // A freed place wakes the next in turn.
    for (std::size_t left = waiting.size() + 1; left != 0; --left) {
      for (ReplayedRequest* request : waiting) {
        Poll(*request);
      }
    }
    ++m_ticks;
    m_now += kTick;
  }
  // Lets the last requests start or give up.
  void Drain()
  {
    for (Duration passed{}; passed < kPatience + 2 * kTick; passed += kTick) {
      Tick();
    }
  }
  double StartedShare(std::size_t aLevel, const std::string& aAccount = {})
  {
    double started = 0;
    double all = 0;
    for (const ReplayedRequest& request : m_requests) {
      if (request.m_level == aLevel &&
          (aAccount.empty() || request.m_account == aAccount)) {
        ++all;
        started += request.m_start ? 1 : 0;
      }
    }
    return all == 0 ? 0 : started / all;
  }
  double StartedShare()
  {
    const auto started = std::count_if(m_requests.begin(),
                                       m_requests.end(),
                                       [](const ReplayedRequest& aRequest) {
                                         return aRequest.m_start.has_value();
                                       });
    return static_cast<double>(started) /
           static_cast<double>(m_requests.size());
  }
  Duration MeanWait(std::size_t aLevel)
  {
    Duration sum{};
    std::int64_t count = 0;
    for (const ReplayedRequest& request : m_requests) {
      if (request.m_level == aLevel) {
        sum += request.m_start.value_or(request.m_arrival + kPatience) -
               request.m_arrival;
        ++count;
      }
    }
    return count == 0 ? sum : sum / count;
  }

private:
  void Poll(ReplayedRequest& aRequest)
  {
    if (aRequest.m_isOver) {
      return;
    }
    const bool isWaiting = aRequest.m_ticket.State() == TicketState::Waiting;
    const bool mayTry =
      !m_hasQueue ||
      (isWaiting ? m_queue.MayTry(m_now, aRequest.m_ticket)
                 : m_queue.MayStartAtOnce(m_now, aRequest.m_level));
    const double reserved =
      !m_hasQueue || m_queue.IsFloorTurn(m_now, aRequest.m_ticket)
        ? 0
        : m_queue.ReservedAgainst(m_now, aRequest.m_level);
    if (mayTry &&
        static_cast<double>(m_ends.size()) < kPlaces * (1 - reserved)) {
      aRequest.m_start = m_now;
      aRequest.m_isOver = true;
      m_starts = (m_starts + 1) % 8;
      m_ends.push_back(m_now + std::chrono::milliseconds(100) * (1 + m_starts));
      if (isWaiting) {
        m_queue.Start(m_now, aRequest.m_ticket);
      } else {
        m_queue.RecordStart(m_now, aRequest.m_level, kTokens);
      }
      return;
    }
    const TimePoint latest = aRequest.m_arrival + kPatience;
    if (m_hasQueue && !isWaiting) {
      if (aRequest.m_ticket.State() == TicketState::Idle) {
        m_queue.Join(m_now,
                     aRequest.m_ticket,
                     { aRequest.m_level, aRequest.m_account, latest, kTokens });
      } else {
        aRequest.m_isOver = true;
      }
    }
    aRequest.m_isOver = aRequest.m_isOver || m_now > latest;
  }

  const bool m_hasQueue;
  TimePoint m_now = kStart;
  std::size_t m_ticks = 0;
  int m_starts = 0;
  PathQueue m_queue;
  std::deque<ReplayedRequest> m_requests;
  std::vector<TimePoint> m_ends;
};

// 40 places a second for 100 requests a second, half of them urgent; a burst of
// less urgent work in the third second.
void
PlayBurst(Replay& aReplay)
{
  for (int tick = 0; tick < 500; ++tick) {
    if (tick % 4 == 0) {
      aReplay.Arrive(0, "a");
    }
    if (tick % 4 == 1) {
      aReplay.Arrive(1, "b");
    }
    if (tick % 4 == 2) {
      aReplay.Arrive(2, "c", tick >= 200 && tick < 300 ? 4 : 2);
    }
    aReplay.Tick();
  }
  aReplay.Drain();
}

} // namespace

// clang-format off
TEST_GROUP(PathQueue)
{
  PathQueue m_queue;
  PathTicket m_tickets[6];

  void Join(PathTicket& aTicket, std::size_t aLevel,
            const std::string& aAccount = {}, std::uint32_t aTokens = kTokens,
            Duration aPatience = std::chrono::seconds(1))
  {
    m_queue.Join(kStart, aTicket,
                 { aLevel, aAccount, kStart + aPatience, aTokens });
  }
  PathTicket* Next(TimePoint aNow = kStart)
  {
    for (PathTicket& ticket : m_tickets) {
      if (m_queue.MayTry(aNow, ticket)) {
        return &ticket;
      }
    }
    return nullptr;
  }
};
// clang-format on

TEST(PathQueue, UrgentRequestsWaitLessInABurstAndNoKindFallsBelowTheFloor)
{
  Replay with(true);
  Replay without(false);
  PlayBurst(with);
  PlayBurst(without);
  Replay withoutFloor(true, { .m_floor = 0 });
  Replay withoutReserve(true, { .m_maxReserved = 0 });
  PlayBurst(withoutFloor);
  PlayBurst(withoutReserve);
  CHECK(with.MeanWait(0) < without.MeanWait(0) / 4);
  CHECK(with.StartedShare(0) > 0.99);
  CHECK(with.StartedShare(0) > without.StartedShare(0) + 0.2);
  CHECK(with.StartedShare(0) >= with.StartedShare(1));
  CHECK(with.StartedShare(1) >= with.StartedShare(2));
  CHECK(with.StartedShare(2) > with.StartedShare() / 4);
  CHECK(withoutFloor.StartedShare(2) < withoutFloor.StartedShare() / 4);
  CHECK(with.MeanWait(0) < withoutReserve.MeanWait(0));
}

TEST(PathQueue, AnAccountsBurstCostsItself)
{
  const auto play = [](Replay& aReplay) {
    for (int tick = 0; tick < 300; ++tick) {
      aReplay.Arrive(0, "many", tick % 2 == 0 ? 2 : 0);
      aReplay.Arrive(0, "few", tick % 10 == 0 ? 1 : 0);
      aReplay.Tick();
    }
    aReplay.Drain();
  };
  Replay with(true);
  Replay without(false);
  play(with);
  play(without);
  CHECK(with.StartedShare(0, "few") > 0.95);
  CHECK(without.StartedShare(0, "few") < 0.7);
}

TEST(PathQueue, ANewcomerDoesNotOvertakeEquallyUrgentOnes)
{
  CHECK(m_queue.MayStartAtOnce(kStart, 1));
  Join(m_tickets[0], 1);
  CHECK_FALSE(m_queue.MayStartAtOnce(kStart, 1));
  CHECK_FALSE(m_queue.MayStartAtOnce(kStart, 2));
  CHECK(m_queue.MayStartAtOnce(kStart, 0));
}

TEST(PathQueue, ADueFloorGoesBeforeMoreUrgentWork)
{
  m_queue.RecordArrival(kStart, 0, kTokens);
  m_queue.RecordArrival(kStart, 1, kTokens);
  Join(m_tickets[0], 0);
  Join(m_tickets[1], 1);
  // Half of the demand and a quarter of that: an eighth of the tokens.
  for (int i = 0; i < 7; ++i) {
    m_queue.RecordStart(kStart, 0, kTokens);
    POINTERS_EQUAL(&m_tickets[0], Next());
  }
  m_queue.RecordStart(kStart, 0, kTokens);
  POINTERS_EQUAL(&m_tickets[1], Next());
  CHECK(m_queue.IsFloorTurn(kStart, m_tickets[1]));
  CHECK_FALSE(m_queue.MayStartAtOnce(kStart, 0));
  m_queue.Start(kStart, m_tickets[1]);
  POINTERS_EQUAL(&m_tickets[0], Next());
}

TEST(PathQueue, TheEarliestLatestStartOfAnAccountIsFirst)
{
  Join(m_tickets[0], 0, "a", kTokens, std::chrono::milliseconds(300));
  Join(m_tickets[1], 0, "a", kTokens, std::chrono::milliseconds(200));
  POINTERS_EQUAL(&m_tickets[1], Next());
}

TEST(PathQueue, AccountsTakeTurnsByTheirTokens)
{
  Join(m_tickets[0], 0, "a", 3 * kTokens);
  Join(m_tickets[1], 0, "a", kTokens);
  Join(m_tickets[2], 0, "b", kTokens);
  Join(m_tickets[3], 0, "b", kTokens);
  // Without an account.
  Join(m_tickets[4], 0, "", kTokens);
  std::string order;
  while (PathTicket* next = Next()) {
    order += next->Wait().m_account.empty() ? "-" : next->Wait().m_account;
    m_queue.Start(kStart, *next);
  }
  STRCMP_EQUAL("ab-ba", order.c_str());
}

TEST(PathQueue, AFullQueueDisplacesTheLeastUrgentOfTheLargestAccount)
{
  PathQueue queue(PathQueueSettings{ 3 });
  const auto join = [&queue](PathTicket& aTicket,
                             std::size_t aLevel,
                             const std::string& aAccount,
                             int aSeconds) {
    queue.Join(
      kStart,
      aTicket,
      { aLevel, aAccount, kStart + std::chrono::seconds(aSeconds), kTokens });
  };
  PathTicket tickets[5];
  int wakes = 0;
  tickets[2].SetWake([&] { ++wakes; });
  join(tickets[0], 1, "a", 1);
  join(tickets[1], 1, "b", 1);
  join(tickets[2], 1, "b", 2);
  join(tickets[3], 0, "c", 1);
  CHECK(tickets[2].State() == TicketState::Displaced);
  CHECK_EQUAL(1, wakes);
  CHECK_EQUAL(3U, queue.Waiting());
  join(tickets[4], 2, "d", 1);
  CHECK(tickets[4].State() == TicketState::Displaced);
  CHECK_EQUAL(2U, queue.WaitingAt(1));
  CHECK_EQUAL(1U, queue.WaitingBefore(1));
}

TEST(PathQueue, ARequestWhoseLatestStartHasPassedIsRefused)
{
  Join(m_tickets[0], 0, {}, kTokens, std::chrono::milliseconds(-1));
  CHECK(m_tickets[0].State() == TicketState::Overdue);
  Join(m_tickets[0], 0, {}, kTokens, std::chrono::milliseconds(100));
  Join(m_tickets[1], 1);
  // While the time stands still, nothing is overdue.
  POINTERS_EQUAL(&m_tickets[0], Next());
  POINTERS_EQUAL(&m_tickets[0], Next());
  POINTERS_EQUAL(&m_tickets[1], Next(kStart + std::chrono::milliseconds(101)));
  CHECK(m_tickets[0].State() == TicketState::Overdue);
  // After a pause of the VM everything is overdue.
  POINTERS_EQUAL(nullptr, Next(kStart + std::chrono::hours(1)));
  CHECK(m_queue.MayStartAtOnce(kStart + std::chrono::hours(1), 2));
}

TEST(PathQueue, ATicketThatIsDestroyedLeavesAndWakesTheNext)
{
  bool isWoken = false;
  {
    PathTicket first;
    Join(first, 0);
    Join(m_tickets[0], 0);
    m_tickets[0].SetWake([&] { isWoken = true; });
    CHECK_FALSE(m_queue.MayTry(kStart, m_tickets[0]));
  }
  CHECK(isWoken);
  POINTERS_EQUAL(&m_tickets[0], Next());
}

TEST(PathQueue, TicketsMayOutliveTheQueue)
{
  PathTicket ticket;
  {
    PathQueue queue;
    queue.Join(kStart, ticket, { 0, "a", kStart, kTokens });
  }
  CHECK(ticket.State() == TicketState::Displaced);
}

TEST(PathQueue, RoomIsReservedForMeasuredDemandOfMoreUrgentLevelsOnly)
{
  m_queue.RecordArrival(kStart, 1, 10 * kTokens);
  DOUBLES_EQUAL(0, m_queue.ReservedAgainst(kStart, 1), 0);
  CHECK_FALSE(m_queue.HasMoreUrgent(kStart, 1));
  m_queue.RecordArrival(kStart, 0, kTokens);
  CHECK(m_queue.HasMoreUrgent(kStart, 1));
  DOUBLES_EQUAL(0.2 / 11, m_queue.ReservedAgainst(kStart, 1), 1e-9);
  DOUBLES_EQUAL(0, m_queue.ReservedAgainst(kStart, 0), 0);
  // A burst.
  m_queue.RecordArrival(kStart, 0, kTokens);
  m_queue.RecordArrival(kStart, 0, kTokens);
  DOUBLES_EQUAL(3.0 / 13, m_queue.ReservedAgainst(kStart, 1), 1e-9);
  m_queue.RecordArrival(kStart, 0, 100 * kTokens);
  DOUBLES_EQUAL(1.0 / 3, m_queue.ReservedAgainst(kStart, 1), 1e-9);
  // A second later nothing is left of it; also after a long pause.
  const TimePoint later = kStart + std::chrono::seconds(1);
  DOUBLES_EQUAL(0, m_queue.ReservedAgainst(later, 1), 0);
  CHECK_FALSE(m_queue.HasMoreUrgent(later + std::chrono::hours(9), 1));
}
