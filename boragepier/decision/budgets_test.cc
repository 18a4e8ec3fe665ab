#include <algorithm>

#include "boragepier/decision/attempt_budget.h"
#include "boragepier/decision/probe_budget.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

TEST_GROUP(Budgets){};

// Guards against more extra attempts than the share allows when every request fails, and against a
// first request that cannot be retried.
TEST(Budgets, ExtraAttemptsStayWithinTheShare)
{
  AttemptBudget budget(0.1);
  int taken = 0;
  for (int requests = 1; requests <= 1000; ++requests) {
    budget.OnRequest();
    taken += budget.TryTake() ? 1 : 0;
    CHECK(taken <= std::max(1, requests / 10));
  }
  CHECK(taken >= 98);
}

// Guards against a retry storm after a quiet hour.
TEST(Budgets, SavingsAreBounded)
{
  AttemptBudget budget(0.1);
  for (int i = 0; i < 100'000; ++i) {
    budget.OnRequest();
  }
  int taken = 0;
  while (budget.TryTake()) {
    ++taken;
  }
  LONGS_EQUAL(20, taken);
}

TEST(Budgets, NoExtraAttemptsWithoutAShare)
{
  AttemptBudget budget(0);
  budget.OnRequest();
  CHECK(!budget.TryTake());
}

// Guards against probes beyond the fleet's budget when the list lacks a third of the instances.
TEST(Budgets, ProbesHoldTheBudgetWithAWrongList)
{
  constexpr int kUpstreams = 15;
  constexpr int kRealInstances = 15;
  constexpr int kKnownInstances = 10;
  ProbeBudget budget;
  budget.SetRate(20, kUpstreams, kKnownInstances);
  MonotonicTime now{ std::chrono::seconds(1) };
  int taken = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    now += std::chrono::milliseconds(1);
    taken += budget.TryTake(now) ? 1 : 0;
  }
  const double perUpstreamSecond = taken * kRealInstances / 10.0 / kUpstreams;
  CHECK(perUpstreamSecond <= 20);
  CHECK(perUpstreamSecond > 18);
}

} // namespace boragepier
