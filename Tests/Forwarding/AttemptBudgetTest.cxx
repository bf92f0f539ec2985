// Tests of the limit on how many runners one request may run.
#include <algorithm>
#include <set>

#include "Forwarding/FirstRunners.h"
#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using std::chrono::milliseconds;

// clang-format off
// The routes allow two runners.
TEST_GROUP(AttemptBudget)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();
  std::vector<StubEndpoint*> m_engines;
  // In the order in which they were asked first.
  std::vector<StubEndpoint*> m_asked;

  void teardown() override { m_fixture.reset(); }

  // Starts three engines that hold all layers and answer probes. aScript gets
  // the engine's place in m_asked.
  void Start(const std::function<std::vector<StubStep>(std::size_t, const HttpRequest&)>& aScript)
  {
    m_fixture->PutConfig();
    for (int i = 0; i < 3; ++i) {
      m_engines.push_back(&m_fixture->AddEngine(0, 4));
    }
    for (StubEndpoint* engine : m_engines) {
      engine->SetScript(
        WithEngineState([this, engine, aScript](const HttpRequest& aRequest) {
          auto place = std::find(m_asked.begin(), m_asked.end(), engine);
          if (place == m_asked.end()) {
            place = m_asked.insert(place, engine);
          }
          return aScript(static_cast<std::size_t>(place - m_asked.begin()),
                         aRequest);
        }));
    }
    m_fixture->Start();
  }
  std::string Ask()
  {
    return m_fixture->SendRequest("POST", "/stream/x", kStreamHeader, "prompt");
  }
};
// clang-format on

TEST(AttemptBudget, ALiveEngineWhoseConnectionBrokeCounts)
{
  for (const StubStep& last : { CloseNow(), ResetNow() }) {
    m_fixture = std::make_unique<ForwardFixture>();
    m_engines.clear();
    m_asked.clear();
    Start([&](std::size_t, const HttpRequest& aRequest) {
      return StreamPart(aRequest, last);
    });
    const std::string answer = Ask();
    const std::vector<int> expected{ 1, 2, 3 };
    CHECK(EventsOf(answer) == expected);
    CHECK_FALSE(IsComplete(answer));
    CHECK_EQUAL(2U, m_asked.size());
  }
}

TEST(AttemptBudget, AnEngineThatHasEndedDoesNotCount)
{
  Start([this](std::size_t aPlace, const HttpRequest& aRequest) {
    switch (aPlace) {
      case 0:
        return StreamPart(aRequest, Await([this] {
                            m_asked[0]->Stop();
                            return true;
                          }));
      case 1:
        return StreamPart(aRequest, CloseNow());
      default:
        return StreamAll(aRequest);
    }
  });
  CheckAllEventsOnce(Ask());
  CHECK_EQUAL(3U, m_asked.size());
}

// The first engine is silent and its call is kept, the second one cuts the
// stream off, and the first one's connection is reset. Both are alive.
TEST(AttemptBudget, AKeptCallThatIsResetCounts)
{
  Start([](std::size_t aPlace,
           const HttpRequest& aRequest) -> std::vector<StubStep> {
    const std::string head = MakeStreamHead(AttemptIdOf(aRequest));
    switch (aPlace) {
      case 0:
        return { Send(head + MakeEvent(1)),
                 Pause(milliseconds(1200)),
                 ResetNow() };
      case 1:
        return { Send(head), CloseNow() };
      default:
        return StreamAll(aRequest);
    }
  });
  CHECK_FALSE(IsComplete(Ask()));
  CHECK_EQUAL(2U, m_asked.size());
}

// clang-format off
TEST_GROUP(FirstRunners)
{
  static constexpr TimePoint kBrokenAt{ std::chrono::seconds(1000) };
  static constexpr Duration kLater = milliseconds(1);
  FirstRunners m_runners;
  RunnerPtr m_first = MakeRunner("a", 1);

  void setup() override { m_runners.Add(m_first); }

  static RunnerPtr MakeRunner(const std::string& aId, std::uint64_t aIncarnation)
  {
    boost::intrusive_ptr<Runner> runner(new Runner);
    runner->m_id = aId;
    runner->m_incarnation = aIncarnation;
    runner->m_load.reset(new RunnerLoad);
    return runner;
  }
};
// clang-format on

TEST(FirstRunners, ABrokenConnectionIsNoEnd)
{
  m_runners.RecordBroken(kBrokenAt, *m_first);
  CHECK_EQUAL(1U, m_runners.CountLive(nullptr));
  CHECK_EQUAL(1U, m_runners.FindBroken(nullptr).size());
}

TEST(FirstRunners, SilenceIsAnEndOnlyAfterABrokenConnection)
{
  m_first->m_load->RecordUnreached(kBrokenAt + kLater);
  CHECK_EQUAL(1U, m_runners.CountLive(nullptr));
  m_runners.RecordBroken(kBrokenAt + 2 * kLater, *m_first);
  CHECK_EQUAL(1U, m_runners.CountLive(nullptr));
  m_first->m_load->RecordUnreached(kBrokenAt + 3 * kLater);
  CHECK_EQUAL(0U, m_runners.CountLive(nullptr));
  CHECK(m_runners.FindBroken(nullptr).empty());
  m_first->m_load->RecordReached(kBrokenAt + 4 * kLater);
  CHECK_EQUAL(1U, m_runners.CountLive(nullptr));
}

TEST(FirstRunners, ARefusedConnectionIsAnEndUntilTheRunnerIsReached)
{
  m_first->m_load->RecordRefused(kBrokenAt);
  CHECK_EQUAL(0U, m_runners.CountLive(nullptr));
  m_first->m_load->RecordReached(kBrokenAt + kLater);
  CHECK_EQUAL(1U, m_runners.CountLive(nullptr));
}

TEST(FirstRunners, ALaterStartAtItsAddressIsAnEnd)
{
  m_first->m_load->RecordStartedAgain();
  m_first->m_load->RecordReached(kBrokenAt);
  CHECK_EQUAL(0U, m_runners.CountLive(nullptr));
}

TEST(FirstRunners, ARunnerThatIsNotListedHasEnded)
{
  state::ConfigImageT image;
  const auto empty =
    RunnerTable::Build(kBrokenAt, ClusterView(std::move(image)), nullptr);
  CHECK_EQUAL(0U, m_runners.CountLive(empty.get()));
}

TEST(FirstRunners, EachStartIsARunnerOfItsOwn)
{
  m_runners.Add(m_first);
  CHECK_EQUAL(1U, m_runners.CountLive(nullptr));
  CHECK_FALSE(m_runners.Contains(*MakeRunner("a", 2)));
  m_runners.Add(MakeRunner("a", 2));
  CHECK_EQUAL(2U, m_runners.CountLive(nullptr));
}
