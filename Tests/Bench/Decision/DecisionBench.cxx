// Measures the decisions: cost of a plan and of an admission, goodput under
// load against the baselines, and shares between accounts. Not in CTest.
#include <cstdlib>
#include <ctime>
#include <deque>
#include <functional>
#include <iostream>
#include <vector>

#include "Bench/Decision/AllocationCount.h"
#include "Bench/Decision/BenchCluster.h"
#include "Bench/Decision/Figure.h"
#include "Bench/Decision/PipelineModel.h"
#include "Routing/AdmissionController.h"
#include "Routing/QueueModel.h"

using namespace parsleycove;

namespace {

struct Cost
{
  double m_nanoseconds = 0;
  double m_allocations = 0;
};

Cost
MeasureCost(std::size_t aRuns, const std::function<void(std::size_t)>& aRun)
{
  for (std::size_t i = 0; i < aRuns / 10; ++i) {
    aRun(i);
  }
  const std::uint64_t allocations = CountAllocations();
  // Processor time: other processes of the machine don't count.
  const std::clock_t begin = std::clock();
  for (std::size_t i = 0; i < aRuns; ++i) {
    aRun(i);
  }
  const double taken =
    static_cast<double>(std::clock() - begin) * 1e9 / CLOCKS_PER_SEC;
  const auto runs = static_cast<double>(aRuns);
  return { taken / runs,
           static_cast<double>(CountAllocations() - allocations) / runs };
}

void
MeasurePlans(std::uint64_t aSeed)
{
  constexpr std::size_t kModels = 6;
  constexpr std::size_t kRuns = 20000;
  struct Size
  {
    std::size_t m_runners;
    std::size_t m_stages;
  };
  for (const Size& size : { Size{ 40, 3 }, Size{ 160, 4 }, Size{ 820, 8 } }) {
    const auto table =
      MakeBenchCluster(size.m_runners, kModels, size.m_stages).Build();
    const std::string at = " at " + std::to_string(size.m_runners) + " runners";
    for (const auto& row : kPlannerKindNames) {
      const auto planner = MakePlanner(row.m_value, BenchRegions::Two, aSeed);
      ChainRequest request;
      request.m_gatewayZone = BenchZone(1);
      request.m_promptTokens = 400;
      request.m_expectedTokens = 200;
      const Cost cost = MeasureCost(kRuns, [&](std::size_t aRun) {
        request.m_model = "m" + std::to_string(aRun % kModels);
        request.m_prefixHash = MixBits(aRun % 100);
        if (!planner->Plan(kTestStart, *table, request)) {
          std::cerr << planner->LastReason().m_text << '\n';
          std::exit(1);
        }
      });
      const std::string label = std::string(row.m_name).append(at);
      Print({ "plan " + label,
              cost.m_nanoseconds,
              "ns",
              "",
              cost.m_nanoseconds / 20000,
              "<= 20000 ns",
              aSeed });
      Print({ "plan allocations " + label,
              cost.m_allocations,
              "allocations",
              "",
              0,
              "near 0",
              aSeed });
    }
  }
}

void
MeasureAdmission(std::uint64_t aSeed)
{
  constexpr std::size_t kAccounts = 7800;
  constexpr std::size_t kRuns = 200000;
  // One thread's share of 10,000 requests a second, at twice its capacity.
  constexpr double kPerSecond = 100;
  AdmissionController controller;
  Random random(aSeed);
  TimePoint now = kTestStart;
  controller.SetCapacity(now, "m0", kPerSecond);
  std::vector<std::string> accounts;
  for (std::size_t i = 0; i < kAccounts; ++i) {
    accounts.push_back("account" + std::to_string(i));
  }
  std::deque<std::uint64_t> running;
  std::uint64_t id = 0;
  AdmissionRequest request;
  request.m_resource = "m0";
  request.m_targets = { "answers", {}, {}, std::chrono::seconds(60), 950 };
  const Cost cost = MeasureCost(kRuns, [&](std::size_t aRun) {
    now += std::chrono::microseconds(5000);
    request.m_id = ++id;
    request.m_account = accounts[random.Below(kAccounts)];
    request.m_deadline = now + std::chrono::seconds(60);
    if (controller.Submit(now, request).m_status == AdmissionStatus::Admitted) {
      running.push_back(id);
    }
    if (aRun % 2 == 0 && !running.empty()) {
      controller.Finish(now, running.front(), { true, 1 });
      running.pop_front();
    }
    for (const std::uint64_t started : controller.TakeReady(now).m_start) {
      running.push_back(started);
    }
  });
  const auto waiting = static_cast<double>(controller.Waiting());
  Print({ "admission at 7800 accounts and twice the capacity",
          cost.m_nanoseconds,
          "ns",
          "",
          0,
          "",
          aSeed });
  Print({ "admission allocations at 7800 accounts",
          cost.m_allocations,
          "allocations",
          "",
          0,
          "",
          aSeed });
  Print(
    { "admission requests waiting", waiting, "requests", "", 0, "", aSeed });
}

void
MeasureGoodput(BenchRegions aRegions,
               const std::vector<double>& aLoads,
               std::uint64_t aSeed)
{
  const std::string where =
    aRegions == BenchRegions::One ? "one region" : "two regions";
  for (const double load : aLoads) {
    double best = 0;
    std::string bestName;
    double own = 0;
    const std::string at =
      " at " + std::to_string(load).substr(0, 3) + "x, " + where;
    for (std::size_t i = kPlannerKindNames.size(); i > 0; --i) {
      const auto& row = kPlannerKindNames[i - 1];
      PipelineSettings settings;
      settings.m_planner = row.m_value;
      settings.m_load = load;
      settings.m_regions = aRegions;
      settings.m_seed = aSeed;
      const PipelineResult result = RunPipelineModel(settings);
      const std::string name(row.m_name);
      const std::string label = std::string(name).append(at);
      const bool isOwn = row.m_value == PlannerKind::ExpectedCompletion;
      own = result.m_goodputShare;
      if (!isOwn && own > best) {
        best = own;
        bestName = name;
      }
      Print({ "goodput share of flow bound " + label,
              own,
              "share",
              isOwn ? bestName : "",
              isOwn && best > 0 ? own / best : 0,
              "",
              aSeed });
      std::cerr << label << ": sent " << result.m_sent << " in time "
                << result.m_inTime << " late " << result.m_late << " refused "
                << result.m_refused << " failed " << result.m_failed
                << " steps share " << result.m_stepsShare << '\n';
    }
  }
}

void
MeasureZoneLoss(std::uint64_t aSeed)
{
  PipelineSettings settings;
  settings.m_load = 0.6;
  settings.m_seed = aSeed;
  settings.m_zoneLostAt = std::chrono::seconds(15);
  const PipelineResult result = RunPipelineModel(settings);
  const auto failed = static_cast<double>(result.m_failed);
  const std::string at = " when 1 of 6 zones falls silent at 0.6x";
  Print(
    { "next token p50" + at, result.m_recoveryP50Ms, "ms", "", 0, "", aSeed });
  Print(
    { "next token p95" + at, result.m_recoveryP95Ms, "ms", "", 0, "", aSeed });
  Print({ "streams cut off" + at, failed, "streams", "", 0, "0", aSeed });
  Print({ "goodput share of flow bound" + at,
          result.m_goodputShare,
          "share",
          "",
          0,
          "",
          aSeed });
  Print({ "steps over those needed" + at,
          result.m_stepsShare,
          "ratio",
          "",
          0,
          "",
          aSeed });
}

void
MeasureShares(std::uint64_t aSeed)
{
  constexpr double kCapacity = 160;
  constexpr double kShare = kCapacity / 10;
  ClassTargets targets;
  targets.m_name = "answers";
  targets.m_completion = std::chrono::milliseconds(800);
  QueueModelSettings settings;
  settings.m_seed = aSeed;
  settings.m_arrivals.push_back({ "large", 10 * kShare, targets });
  for (int i = 0; i < 9; ++i) {
    settings.m_arrivals.push_back(
      { "small" + std::to_string(i), kShare, targets });
  }
  const QueueModelResult result = RunQueueModel(settings);
  for (const auto& [name, account] : result.m_accounts) {
    const double share = static_cast<double>(account.m_inTime) /
                         static_cast<double>(account.m_sent);
    Print({ "answered in time, account " + name + " beside one at 10 shares",
            share,
            "share",
            "",
            0,
            "",
            aSeed });
  }
}

} // namespace

int
main(int argc, char** argv)
{
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  MeasurePlans(seed);
  MeasureAdmission(seed);
  MeasureShares(seed);
  MeasureZoneLoss(seed);
  MeasureGoodput(BenchRegions::Two, { 0.5, 0.9, 1.0, 2.0, 5.0 }, seed);
  MeasureGoodput(BenchRegions::One, { 0.5, 0.9, 1.0, 2.0 }, seed);
  return 0;
}
