// Tests of the retry budget that all gateways keep together.
#include <algorithm>
#include <vector>

#include "Routing/Random.h"
#include "Routing/WindowedBudget.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

TimePoint
At(double aSeconds)
{
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1000 + aSeconds)));
}

} // namespace

TEST_GROUP(WindowedBudget){};

TEST(WindowedBudget, GivesAGatewayItsPartOfTheSlack)
{
  WindowedBudgetSettings settings;
  settings.m_slack = 100;
  settings.m_safetyFactor = 1;
  WindowedBudget budget(settings);
  int granted = 0;
  while (budget.Spend(At(0), 10)) {
    ++granted;
  }
  CHECK_EQUAL(10, granted);
}

TEST(WindowedBudget, GrowsWithTheRequestsOfTheWindow)
{
  WindowedBudgetSettings settings;
  settings.m_slack = 0;
  settings.m_safetyFactor = 1;
  WindowedBudget budget(settings);
  CHECK_FALSE(budget.Spend(At(0), 1));
  for (int i = 0; i < 10; ++i) {
    budget.RecordRequest(At(1));
  }
  CHECK(budget.Spend(At(1), 1));
  CHECK(budget.Spend(At(1), 1));
  CHECK_FALSE(budget.Spend(At(1), 1));
  CHECK_FALSE(budget.Spend(At(30), 1));
}

TEST(WindowedBudget, AProcessThatHasJustStartedTakesLittleSlack)
{
  WindowedBudgetSettings settings;
  settings.m_slack = 100;
  settings.m_safetyFactor = 1;
  WindowedBudget budget(settings, At(0));
  CHECK(budget.Remaining(At(0), 1) <= 15);
  CHECK(budget.Remaining(At(5), 1) >= 49);
  CHECK(budget.Remaining(At(5), 1) <= 51);
}

// Load pattern: every request fails at first, for a minute, at 20 gateways
// with shares of the load that differ.
TEST(WindowedBudget, NoWindowOfAllGatewaysExceedsTheBudget)
{
  constexpr int kGateways = 20;
  WindowedBudgetSettings settings;
  settings.m_slack = 200;
  std::vector<WindowedBudget> budgets(kGateways, WindowedBudget(settings));
  Random random(5);
  std::vector<double> requests;
  std::vector<double> retries;
  for (double now = 0; now < 60; now += 0.005) {
    auto& budget = budgets[random.Below(random.Below(kGateways) + 1)];
    budget.RecordRequest(At(now));
    requests.push_back(now);
    while (random.Below(3) != 0 && budget.Spend(At(now), kGateways)) {
      retries.push_back(now);
    }
  }
  CHECK(!retries.empty());
  auto countIn = [](const std::vector<double>& aTimes, double aFrom) {
    return std::count_if(aTimes.begin(), aTimes.end(), [&](double aTime) {
      return aTime >= aFrom && aTime < aFrom + 10;
    });
  };
  for (double from = 0; from < 50; from += 0.5) {
    const double allowed = 0.2 * countIn(requests, from) + 200;
    CHECK(countIn(retries, from) <= allowed);
  }
}
