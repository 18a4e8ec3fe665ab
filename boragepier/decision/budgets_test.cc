#include <algorithm>

#include "boragepier/decision/attempt_budget.h"
#include "boragepier/decision/probe_budget.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

TEST_GROUP(Budgets){};

// Guards against more extra attempts than the share allows when every request fails, and against no
// budget for a retry of the first request.
TEST(Budgets, ExtraAttemptsStayWithinShareOfRequests)
{
  AttemptBudget budget(0.1);
  int taken = 0;
  for (int requests = 1; requests <= 1000; ++requests) {
    budget.OnRequest();
    taken += budget.TrySpend() ? 1 : 0;
    CHECK(taken <= std::max(1, requests / 10));
  }
  CHECK(taken >= 98);
}

// Guards against a retry storm that is paid for with tokens saved while no attempt failed.
TEST(Budgets, SavedTokensAreBounded)
{
  AttemptBudget budget(0.1);
  for (int i = 0; i < 100'000; ++i) {
    budget.OnRequest();
  }
  int taken = 0;
  while (budget.TrySpend()) {
    ++taken;
  }
  LONGS_EQUAL(20, taken);
}

TEST(Budgets, ZeroShareGrantsNoExtraAttempts)
{
  AttemptBudget budget(0);
  budget.OnRequest();
  CHECK(!budget.TrySpend());
}

// Guards against exceeding the fleet's probe budget when the list lacks a third of the instances.
TEST(Budgets, ProbesStayWithinBudgetWithIncompleteInstanceList)
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
    taken += budget.TrySpend(now) ? 1 : 0;
  }
  const double perUpstreamSecond = taken * kRealInstances / 10.0 / kUpstreams;
  CHECK(perUpstreamSecond <= 20);
  CHECK(perUpstreamSecond > 18);
}

} // namespace boragepier
