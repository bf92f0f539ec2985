// Tests path selection, including replays of bursts and failures.
#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include "Routing/EngineFleet.h"
#include "Routing/PathSelector.h"
#include "Routing/Random.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr std::uint32_t kTokens = 900;
constexpr std::uint32_t kPrompt = 800;
// The KV cache capacity counts too, so two paths need not have the same prefill
// backlog.
constexpr double kMaxImbalance = 1.5;

TimePoint
At(double aSeconds)
{
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1000 + aSeconds)));
}

bool
Crosses(const StagePath& aPath)
{
  return aPath.m_crossings != 0;
}

double
LeastKvCapacity(const StagePath& aPath)
{
  return std::min_element(aPath.m_stages.begin(),
                          aPath.m_stages.end(),
                          [](const PathStage& aLeft, const PathStage& aRight) {
                            return aLeft.m_kvCapacityTokens <
                                   aRight.m_kvCapacityTokens;
                          })
    ->m_kvCapacityTokens;
}

// The algorithm that chooses paths in a replay.
enum class Chooser
{
  Selector,
  RoundRobin,
  LeastOutstanding,
};

struct ReplayResult
{
  int m_served = 0;
  // Served streams whose tokens fitted the KV cache capacity of each of their
  // engines all the time.
  int m_fitting = 0;
  int m_refused = 0;
};

// A stream in progress until m_end.
struct Running
{
  TimePoint m_end;
  PathReservation m_reservation;
  StagePathPtr m_path;
  bool m_fits = true;
};

bool
FitsNow(const StagePath& aPath)
{
  return std::all_of(
    aPath.m_stages.begin(), aPath.m_stages.end(), [](const PathStage& aStage) {
      return aStage.m_runner->m_load->ReservedTokens() <=
             aStage.m_kvCapacityTokens;
    });
}

// Replays streams of 2.6 s that arrive at aRate for 10 s, and at four times
// that rate from second 4 to 6. A stream is preempted if one of its engines
// runs out of KV cache memory.
ReplayResult
ReplayBurst(Chooser aChooser, PathSelector& aSelector, double aRate)
{
  Random random(11);
  std::deque<Running> running;
  ReplayResult result;
  std::size_t turn = 0;
  double now = 0;
  while (now < 10) {
    const bool inBurst = now >= 4 && now < 6;
    now += 2 * random.Fraction() / (inBurst ? 4 * aRate : aRate);
    while (!running.empty() && running.front().m_end <= At(now)) {
      result.m_fitting += running.front().m_fits ? 1 : 0;
      ++result.m_served;
      running.pop_front();
    }
    const PathChoice choice = aSelector.Choose(At(now), { kTokens, 1, {}, {} });
    StagePathPtr path = choice.m_path;
    if (aChooser == Chooser::RoundRobin) {
      path = aSelector.Paths()[turn++ % aSelector.Paths().size()];
    } else if (aChooser == Chooser::LeastOutstanding) {
      path = *std::min_element(
        aSelector.Paths().begin(),
        aSelector.Paths().end(),
        [](const StagePathPtr& aLeft, const StagePathPtr& aRight) {
          return aLeft->First().m_load->Streams() <
                 aRight->First().m_load->Streams();
        });
    }
    if (!path) {
      ++result.m_refused;
      continue;
    }
    path->m_stages.front().m_runner->m_load->AddStream();
    running.push_back(
      { At(now + 2.6), PathReservation(path, kTokens), path, FitsNow(*path) });
    for (Running& stream : running) {
      stream.m_fits = stream.m_fits && FitsNow(*stream.m_path);
    }
  }
  return result;
}

} // namespace

// clang-format off
TEST_GROUP(PathSelector)
{
  const LayeredModel m_model = MakeModel();
  std::vector<LayoutHost> m_hosts = MakeHosts(UsualGroups());
  std::vector<RunnerPtr> m_engines;
  PathSelector m_selector{ "a" };

  void setup() override
  {
    ApplyOrders(m_hosts, LayerLayout().Plan(m_model, m_hosts));
    m_engines = MakeEngines(m_hosts);
    m_selector.SetEngines(m_model, m_engines);
  }

  const RunnerPtr& Engine(const std::string& aId)
  {
    return *std::find_if(m_engines.begin(), m_engines.end(),
      [&](const auto& aEngine) { return aEngine->m_id == aId; });
  }

  StagePathPtr Choose(double aSeconds, const PathRequest& aRequest = { kTokens, 1, {}, {} })
  {
    return m_selector.Choose(At(aSeconds), aRequest).m_path;
  }
};
// clang-format on

TEST(PathSelector, TakesAPathWithinTheOwnZone)
{
  const StagePathPtr path = Choose(0);
  STRCMP_EQUAL("a", path->First().m_zone.c_str());
  CHECK_FALSE(Crosses(*path));
}

TEST(PathSelector, TakesAnotherZoneWhenTheOwnPathFills)
{
  std::deque<PathReservation> reservations;
  StagePathPtr path = Choose(0);
  while (path && path->First().m_zone == "a" && reservations.size() < 1000) {
    reservations.emplace_back(path, kTokens);
    path = Choose(0);
  }
  CHECK(path != nullptr);
  CHECK(path->First().m_zone != "a");
  CHECK_FALSE(Crosses(*path));
}

TEST(PathSelector, ARequestLeavesTheReservedShareOfEveryPathFree)
{
  PathRequest request;
  request.m_tokens = kTokens;
  request.m_reservedShare = 0.25;
  std::deque<PathReservation> reservations;
  while (const StagePathPtr path = m_selector.Choose(At(0), request).m_path) {
    reservations.emplace_back(path, kTokens);
    CHECK(reservations.size() < 10'000);
  }
  const std::size_t most = reservations.size();
  CHECK(m_selector.Choose(At(0), request).m_isFull);
  request.m_reservedShare = 0;
  while (const StagePathPtr path = m_selector.Choose(At(0), request).m_path) {
    reservations.emplace_back(path, kTokens);
    CHECK(reservations.size() < 10'000);
  }
  DOUBLES_EQUAL(0.75,
                static_cast<double>(most) /
                  static_cast<double>(reservations.size()),
                0.02);
}

TEST(PathSelector, RefusesOnlyWhenEveryPathIsFull)
{
  std::deque<PathReservation> reservations;
  while (const StagePathPtr path = Choose(0)) {
    reservations.emplace_back(path, kTokens);
    CHECK(reservations.size() < 10'000);
  }
  const PathChoice choice = m_selector.Choose(At(0), { kTokens, 1, {}, {} });
  CHECK(choice.m_isFull);
  reservations.pop_back();
  CHECK(Choose(0) != nullptr);
}

// Fault pattern: an engine of the only path of a zone fails, and forty streams
// of this gateway restart at the same moment. The prefill of all of them on the
// path with the most KV cache capacity takes longer than a stream may pause.
TEST(PathSelector, StreamsThatBeginAnewAreSpreadByWhatIsToBeRead)
{
  for (const RunnerPtr& engine : m_engines) {
    if (engine->m_zone == "a") {
      engine->m_load->OpenCircuitFor(At(0), std::chrono::seconds(5));
    }
  }
  // Fill the path that would be chosen first; the other path then has more KV
  // cache capacity left.
  std::deque<PathReservation> reservations;
  m_selector.Invalidate();
  const StagePathPtr first = Choose(0);
  for (int i = 0; i < 40; ++i) {
    reservations.emplace_back(first, kTokens);
  }
  // Time in ms until the prompts sent to a zone's path are prefilled.
  std::map<std::string, double> prefillMs;
  for (int i = 0; i < 40; ++i) {
    const StagePathPtr path = Choose(0, { kTokens, 1, {}, {}, kPrompt });
    CHECK(path != nullptr);
    CHECK_FALSE(Crosses(*path));
    prefillMs[path->First().m_zone] += kPrompt * path->m_prefillMs;
    reservations.emplace_back(path, kTokens, kPrompt);
  }
  CHECK_EQUAL(2U, prefillMs.size());
  const double even =
    (prefillMs.begin()->second + prefillMs.rbegin()->second) / 2;
  for (const auto& [zone, taken] : prefillMs) {
    CHECK(taken <= kMaxImbalance * even);
  }
}

// Fault pattern: ninety gateways with one stream each restart their streams at
// the same moment. A gateway does not know what the other gateways choose at
// that moment.
TEST(PathSelector, StreamsOfManyGatewaysThatBeginAnewSpread)
{
  m_selector.Invalidate();
  Choose(0);
  std::set<std::string> zones;
  for (const StagePathPtr& path : m_selector.Paths()) {
    path->First().m_load->RecordReport(At(0), 0, 60);
    zones.insert(path->First().m_zone);
  }
  std::map<std::string, int> begun;
  for (std::uint64_t seed = 1; seed <= 90; ++seed) {
    const StagePathPtr path = Choose(0, { kTokens, 90, {}, {}, kPrompt, seed });
    ++begun[path->First().m_zone];
  }
  CHECK_EQUAL(zones.size(), begun.size());
  for (const auto& [zone, count] : begun) {
    CHECK(count <= 60);
  }
}

// Load pattern: five engines take four times as long while another zone is
// down. Each event of their streams comes 290 ms after the previous one, which
// misses the event gap target.
TEST(PathSelector, APathWhoseStreamsAreAllLateIsTakenWhereTheOthersAreFull)
{
  const Duration target = std::chrono::milliseconds(200);
  std::deque<PathReservation> reservations;
  Choose(0);
  std::set<std::string> zones;
  for (const StagePathPtr& path : m_selector.Paths()) {
    const std::string& zone = path->First().m_zone;
    if (zone == "a") {
      path->First().m_load->RecordEventGap(At(0),
                                           std::chrono::milliseconds(290));
    } else if (!Crosses(*path) && zones.insert(zone).second) {
      reservations.emplace_back(
        path, static_cast<std::uint32_t>(0.7 * LeastKvCapacity(*path)));
    }
  }
  PathRequest request{ kTokens, 1, {}, {}, kPrompt };
  request.m_gapTarget = target;
  CHECK(Choose(0, request)->First().m_zone != "a");
  for (int i = 0; i < 200; ++i) {
    StagePathPtr path = Choose(0, request);
    if (path->First().m_zone == "a") {
      break;
    }
    reservations.emplace_back(path, kTokens);
  }
  STRCMP_EQUAL("a", Choose(0, request)->First().m_zone.c_str());
  // The recorded event gap is too old to count.
  reservations.clear();
  STRCMP_EQUAL("a", Choose(1.1, request)->First().m_zone.c_str());
}

TEST(PathSelector, OnePauseOfABatchDoesNotMakeItsPathLate)
{
  RunnerLoad load;
  for (int i = 0; i < 200; ++i) {
    load.RecordEventGap(At(0.001 * i), std::chrono::milliseconds(45));
  }
  load.RecordEventGap(At(0.2), std::chrono::milliseconds(900));
  CHECK(load.EventGap(At(0.2)) < std::chrono::milliseconds(200));
}

// After its prefill a prompt counts only towards the reserved tokens.
TEST(PathSelector, APromptThatWasReadHoldsItsRoomOnly)
{
  const StagePathPtr path = Choose(0);
  PathReservation reservation(path, kTokens, kPrompt);
  CHECK_EQUAL(static_cast<int>(kPrompt),
              path->First().m_load->PendingPrefillTokens());
  reservation.MarkPrefillDone();
  reservation.MarkPrefillDone();
  CHECK_EQUAL(0, path->First().m_load->PendingPrefillTokens());
  PathReservation moved(std::move(reservation));
  CHECK_EQUAL(0, path->First().m_load->PendingPrefillTokens());
  CHECK_EQUAL(static_cast<int>(kTokens),
              path->First().m_load->ReservedTokens());
}

// Load pattern: a burst fills the fast path while the engines of the other
// paths take three times as long. A late answer is better than none.
TEST(PathSelector, ASlowPathWithRoomGoesBeforeAFullOne)
{
  std::deque<PathReservation> reservations;
  for (const RunnerPtr& engine : m_engines) {
    if (engine->m_zone != "a") {
      engine->m_load->RecordSlowdown(At(0), 3);
    }
  }
  m_selector.Invalidate();
  Choose(0);
  std::set<std::string> filled;
  for (const StagePathPtr& path : m_selector.Paths()) {
    const std::string& zone = path->First().m_zone;
    if (Crosses(*path) || !filled.insert(zone).second) {
      continue;
    }
    const double part = zone == "a" ? 0.96 : 0.5;
    reservations.emplace_back(
      path, static_cast<std::uint32_t>(part * LeastKvCapacity(*path)));
  }
  const StagePathPtr path = Choose(0);
  CHECK(path != nullptr);
  CHECK(path->First().m_zone != "a");
}

TEST(PathSelector, AvoidsASilentEngine)
{
  const std::string first = Choose(0)->First().m_id;
  Engine(first)->m_load->OpenCircuitFor(At(0), std::chrono::seconds(5));
  m_selector.Invalidate();
  CHECK_FALSE(Choose(0)->Uses(first));
}

TEST(PathSelector, AvoidsAnEngineThatRefusesForAWhileOnly)
{
  const std::string first = Choose(0)->First().m_id;
  Engine(first)->m_load->EjectFor(At(0), std::chrono::milliseconds(150));
  CHECK_FALSE(Choose(0.01)->Uses(first));
  CHECK(Choose(1)->Uses(first));
}

TEST(PathSelector, RefusalsOneAfterAnotherDoubleTheTime)
{
  RunnerLoad load;
  const Duration ejection = std::chrono::milliseconds(150);
  load.EjectFor(At(0), ejection);
  CHECK_FALSE(load.IsEjected(At(0.16)));
  load.EjectFor(At(0.16), ejection);
  CHECK(load.IsEjected(At(0.45)));
  CHECK_FALSE(load.IsEjected(At(0.47)));
  load.EjectFor(At(5), ejection);
  CHECK_FALSE(load.IsEjected(At(5.16)));
}

TEST(PathSelector, AvoidsASlowEngine)
{
  const std::string second = Choose(0)->m_stages[2].m_runner->m_id;
  Engine(second)->m_load->RecordSlowdown(At(0), 12);
  m_selector.Invalidate();
  CHECK_FALSE(Choose(0)->Uses(second));
}

// Load pattern: the engines of this VM's zone take four times as long.
TEST(PathSelector, PassesOverTheOwnZoneWhileItIsSlow)
{
  for (const RunnerPtr& engine : m_engines) {
    if (engine->m_zone == "a") {
      engine->m_load->RecordSlowdown(At(0), 4);
    }
  }
  m_selector.Invalidate();
  const StagePathPtr path = Choose(0);
  CHECK(path->First().m_zone != "a");
  CHECK_FALSE(Crosses(*path));
}

TEST(PathSelector, LeavesItsZoneOnlyWhereNoPathWithinAZoneIsLeft)
{
  // Only zone b keeps the engines of its first layers, so any other path must
  // cross zones.
  for (const RunnerPtr& engine : m_engines) {
    if (engine->m_zone != "b" && engine->m_firstLayer == 0) {
      engine->m_load->OpenCircuitFor(At(0), std::chrono::seconds(5));
    }
  }
  m_selector.Invalidate();
  const StagePathPtr path = Choose(0);
  STRCMP_EQUAL("b", path->First().m_zone.c_str());
  CHECK_FALSE(Crosses(*path));
}

TEST(PathSelector, PassesOverRunnersThatARequestWasSentTo)
{
  const std::string first = Choose(0)->First().m_id;
  CHECK_FALSE(Choose(0, { kTokens, 1, { first }, {} })->Uses(first));
}

TEST(PathSelector, HoldsAndReleasesTokensOnEveryStage)
{
  const StagePathPtr path = Choose(0);
  {
    PathReservation reservation(path, kTokens);
    PathReservation moved(std::move(reservation));
    for (const PathStage& stage : path->m_stages) {
      CHECK_EQUAL(static_cast<int>(kTokens),
                  stage.m_runner->m_load->ReservedTokens());
    }
  }
  for (const PathStage& stage : path->m_stages) {
    CHECK_EQUAL(0, stage.m_runner->m_load->ReservedTokens());
  }
}

// Load pattern: traffic at the daily rate, then four times as much for 2 s.
// Round robin overfills the small chain. The path selector refuses streams for
// which no path has KV cache capacity, and every stream that it accepts fits.
TEST(PathSelector, ReplayOfABurstPreemptsNobody)
{
  const ReplayResult selector = ReplayBurst(Chooser::Selector, m_selector, 60);
  setup();
  const ReplayResult turns = ReplayBurst(Chooser::RoundRobin, m_selector, 60);
  setup();
  const ReplayResult least =
    ReplayBurst(Chooser::LeastOutstanding, m_selector, 60);
  CHECK_EQUAL(selector.m_served, selector.m_fitting);
  CHECK(selector.m_fitting > turns.m_fitting);
  CHECK(selector.m_fitting > least.m_fitting);
}

TEST(PathSelector, ReplayOfTheDailyRateRefusesNobody)
{
  Random random(3);
  std::deque<Running> running;
  for (double now = 0; now < 10; now += 2 * random.Fraction() / 60) {
    while (!running.empty() && running.front().m_end <= At(now)) {
      running.pop_front();
    }
    const StagePathPtr path = Choose(now);
    CHECK(path != nullptr);
    running.push_back(
      { At(now + 2.6), PathReservation(path, kTokens), path, true });
  }
}

// Paths that only use up engines which another path left over do not make a
// fleet a large one: drawing among them would fill the shared engines.
TEST(PathSelector, AFewGatewaysTakeTheFirstPathOfTheirZone)
{
  for (const char* zone : { "a", "b", "c" }) {
    PathSelector selector(zone);
    selector.SetEngines(m_model, m_engines);
    PathRequest request{ kTokens, 9, {}, {} };
    const StagePathPtr first = selector.Choose(At(0), request).m_path;
    for (const double draw : { 0.3, 0.6, 0.9, 0.999 }) {
      request.m_draw = draw;
      CHECK(selector.Choose(At(0), request).m_path == first);
    }
  }
}
