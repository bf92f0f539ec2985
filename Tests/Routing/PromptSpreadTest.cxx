// Tests how prompts are spread over paths by their length, with replays of the
// daily load and of a burst.
#include <cstdio>

#include "Routing/PromptReplay.h"
#include "Routing/PromptSpread.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr double kTargetMs = 500;
const ServiceAims kAims{ std::chrono::milliseconds(500), true };
constexpr PrefillCost kFast{ 0.026, 11, 0.3 };
constexpr PrefillCost kSlow{ 0.064, 30, 1.5 };

LayeredModel
ModelWithChunks()
{
  LayeredModel model = MakeModel();
  model.m_chunkTokens = 512;
  model.m_stepsPerPass = 3;
  model.m_usualPromptTokens = 760;
  model.m_usualAnswerTokens = 145;
  return model;
}

std::vector<EngineGroup>
ReplayGroups()
{
  return { { "a", "fastest", 1 }, { "a", "fast", 2 },    { "a", "middle", 13 },
           { "a", "small", 18 },  { "b", "fastest", 1 }, { "b", "fast", 2 },
           { "b", "middle", 20 }, { "b", "small", 9 },   { "c", "fast", 4 },
           { "c", "middle", 11 }, { "c", "small", 17 } };
}

// 95th percentiles of the first event, in ms, as means over several seeds.
struct ReplayFigures
{
  double m_calmLongest = 0;
  double m_burstShort = 0;
  double m_burstLongest = 0;
  double m_latest = 0;
  std::size_t m_pauses = 0;
  std::size_t m_refused = 0;
};

ReplayFigures
Replay(std::size_t aGateways, bool aIsSpread)
{
  constexpr std::uint64_t kSeeds = 8;
  ReplayFigures figures;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const PromptLoad load{
      .m_rate = 40, .m_burstFactor = 2, .m_seed = seed, .m_isSpread = aIsSpread
    };
    const PromptResult result =
      PromptReplay(ReplayGroups(), aGateways, load).Run();
    figures.m_calmLongest +=
      result.FirstEventP95(0, load.m_burstAt, 0.9, 1) / kSeeds;
    figures.m_burstShort +=
      result.FirstEventP95(load.m_burstAt, load.m_burstEnd, 0, 0.5) / kSeeds;
    figures.m_burstLongest +=
      result.FirstEventP95(load.m_burstAt, load.m_burstEnd, 0.9, 1) / kSeeds;
    figures.m_latest = std::max(figures.m_latest, result.LongestFirstEvent());
    figures.m_pauses += result.CountPauses();
    figures.m_refused += result.m_refused;
    CHECK_EQUAL(result.m_offered, result.m_outcomes.size() + result.m_refused);
  }
  std::printf("\n%zu gateways, %s: p95 in ms: longest tenth calm %.0f; burst: "
              "shortest half %.0f, longest tenth %.0f; latest %.0f, pauses "
              "%zu, refused %zu\n",
              aGateways,
              aIsSpread ? "with" : "without",
              figures.m_calmLongest,
              figures.m_burstShort,
              figures.m_burstLongest,
              figures.m_latest,
              figures.m_pauses,
              figures.m_refused);
  return figures;
}

void
CheckReplay(std::size_t aGateways)
{
  const ReplayFigures without = Replay(aGateways, false);
  const ReplayFigures with = Replay(aGateways, true);
  CHECK(with.m_burstShort <= without.m_burstShort * 2 / 3);
  CHECK(with.m_calmLongest <= std::max(kTargetMs, without.m_calmLongest));
  CHECK(with.m_burstLongest <= std::max(kTargetMs, without.m_burstLongest));
  CHECK(with.m_pauses <= without.m_pauses);
  CHECK(with.m_refused <= without.m_refused);
  // Nobody starves.
  CHECK(with.m_latest <= without.m_latest);
}

} // namespace

// clang-format off
TEST_GROUP(PromptSpread)
{
  PromptSpread m_spread;

  void setup() override
  {
    m_spread.SetModel(ModelWithChunks());
    m_spread.SetAims(kAims);
  }

  // Returns the weight of the fast path as a multiple of the slow one's.
  double FastOverSlow(double aTokens, const PrefillLoad& aFastLoad = {})
  {
    return m_spread.WeightFactor(kFast, aFastLoad, aTokens) /
           m_spread.WeightFactor(kSlow, {}, aTokens);
  }
};
// clang-format on

TEST(PromptSpread, ALongPromptSeeksAFastPathMoreThanAShortOne)
{
  CHECK(FastOverSlow(100) > 1);
  CHECK(FastOverSlow(2280) > 4 * FastOverSlow(100));
}

TEST(PromptSpread, LoadOnTheFastPathMovesPromptsToTheSlowOne)
{
  const double idle = FastOverSlow(2280);
  CHECK(FastOverSlow(2280, { 4000, 0 }) < idle);
  CHECK(FastOverSlow(2280, { 0, 25 }) < idle);
}

TEST(PromptSpread, PairsOfTokensMakeALongPromptCostMoreThanItsLength)
{
  const PrefillCost pairs{ 0.01, 0, 10 };
  CHECK(m_spread.ReadingMs(pairs, 2000) > 2 * m_spread.ReadingMs(pairs, 1000));
}

TEST(PromptSpread, NoLoadTakesAllWeightOfAPath)
{
  CHECK(m_spread.WeightFactor(kSlow, { 1e9, 1e6 }, 1e6) > 0);
  CHECK(m_spread.WeightFactor(kSlow, { -5, -5 }, 1) <= 1);
  CHECK(m_spread.WeightFactor({ 0, 0, -1e9 }, {}, 2280) <= 1);
}

TEST(PromptSpread, DoesNotActWithoutDifferentAimsOrFigures)
{
  m_spread.SetAims({ std::chrono::milliseconds(500), false });
  CHECK_FALSE(m_spread.IsActive());
  DOUBLES_EQUAL(1, m_spread.WeightFactor(kSlow, { 1000, 5 }, 2280), 0);
  m_spread.SetAims({ Duration::zero(), true });
  CHECK_FALSE(m_spread.IsActive());
  m_spread.SetAims(kAims);
  CHECK_TRUE(m_spread.IsActive());
  m_spread.SetModel(MakeModel());
  CHECK_FALSE(m_spread.IsActive());
  LayeredModel tiny = ModelWithChunks();
  tiny.m_chunkTokens = 1e-300;
  m_spread.SetModel(tiny);
  CHECK_FALSE(m_spread.IsActive());
  PromptSpread off({ .m_isEnabled = false });
  off.SetModel(ModelWithChunks());
  off.SetAims(kAims);
  CHECK_FALSE(off.IsActive());
}

TEST(PromptSpread, EqualAimsLeaveEachChoiceAsItWas)
{
  LayeredModel model = ModelWithChunks();
  auto hosts = MakeHosts(UsualGroups());
  ApplyOrders(hosts, LayerLayout().Plan(model, hosts));
  const auto engines = MakeEngines(hosts);
  PathSelector before("a");
  before.SetEngines(MakeModel(), engines);
  PathSelector after("a");
  after.SetEngines(model, engines);
  after.SetAims({ std::chrono::milliseconds(500), false });
  Random random(5);
  for (int i = 0; i < 200; ++i) {
    PathRequest request{ .m_tokens = 900, .m_gateways = 67 };
    request.m_promptTokens = static_cast<std::uint32_t>(random.Below(2280));
    request.m_draw = random.Fraction();
    const TimePoint now(std::chrono::milliseconds(1'000'000 + i));
    const StagePathPtr path = after.Choose(now, request).m_path;
    STRCMP_EQUAL(before.Choose(now, request).m_path->Describe().c_str(),
                 path->Describe().c_str());
  }
}

TEST(PromptSpread, ShortPromptsBeginSoonerInABurstOnManyGateways)
{
  CheckReplay(67);
}

TEST(PromptSpread, ShortPromptsBeginSoonerInABurstOnFewGateways)
{
  CheckReplay(3);
}
