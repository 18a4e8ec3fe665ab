#include "boragepier/decision/cold_limit.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

constexpr MonotonicTime kStart{ std::chrono::hours(1) };
constexpr ColdTerms kTerms{ 3.8, 1.5, 8 };

std::vector<InstanceId>
MakeInstances(int aFrom, int aTo)
{
  std::vector<InstanceId> instances;
  for (int i = aFrom; i < aTo; ++i) {
    instances.emplace_back("i-" + std::to_string(i));
  }
  return instances;
}

// The instances that take themselves for selected, each by its own list.
int
CountSenders(const ColdTerms& aTerms,
             const std::vector<InstanceId>& aSelves,
             const std::vector<InstanceId>& aList,
             const std::string& aUpstream)
{
  return static_cast<int>(
    std::count_if(aSelves.begin(), aSelves.end(), [&](const InstanceId& aSelf) {
      ColdShares shares;
      shares.SetTerms(aTerms);
      shares.SetFleet(aSelf, aList);
      return shares.IsSender(aUpstream);
    }));
}

} // namespace

TEST_GROUP(ColdLimit){};

TEST(ColdLimit, AFewInstancesAreSelectedForEachUpstream)
{
  const auto fleet = MakeInstances(0, 127);
  ColdShares shares;
  shares.SetTerms(kTerms);
  shares.SetFleet(fleet.front(), fleet);
  CHECK_EQUAL(3U, shares.SenderCount());
  for (int i = 0; i < 50; ++i) {
    CHECK_EQUAL(3, CountSenders(kTerms, fleet, fleet, "u-" + std::to_string(i)));
  }
}

// Guards against a limit that is exceeded while the lists of instances differ: a third of them have
// just been added, and only the new ones know that.
TEST(ColdLimit, SelectionsByDifferentListsStayWithinTheTolerance)
{
  const auto all = MakeInstances(0, 127);
  const auto before = MakeInstances(0, 85);
  const auto added = MakeInstances(85, 127);
  ColdShares shares;
  shares.SetTerms(kTerms);
  shares.SetFleet(all.front(), all);
  for (int i = 0; i < 200; ++i) {
    const std::string upstream = "u-" + std::to_string(i);
    const int senders =
      CountSenders(kTerms, before, before, upstream) + CountSenders(kTerms, added, all, upstream);
    const double inOneSecond = senders * (1 + shares.ShareRate());
    CHECK_COMPARE(inOneSecond, <=, kTerms.requestsPerSecond_ * kTerms.overage_ + kTerms.slack_);
  }
}

TEST(ColdLimit, ASmallFleetOrNoToleranceSelectsAtLeastOne)
{
  ColdShares shares;
  shares.SetTerms({ 3.8, 1, 0 });
  shares.SetFleet(InstanceId("i-0"), MakeInstances(0, 20));
  CHECK_EQUAL(1U, shares.SenderCount());
  shares.SetTerms(kTerms);
  shares.SetFleet(InstanceId("i-0"), MakeInstances(0, 2));
  CHECK_EQUAL(2U, shares.SenderCount());
  DOUBLES_EQUAL(1.9, shares.ShareRate(), 1e-9);
  shares.SetTerms({});
  CHECK(!shares.IsLimited());
}

// The load of a restart of all upstreams: every selected instance has more requests than its share.
TEST(ColdLimit, RequestsInEachSecondStayWithinTheTolerance)
{
  ColdShares shares;
  shares.SetTerms(kTerms);
  shares.SetFleet(InstanceId("i-0"), MakeInstances(0, 127));
  std::vector<ColdUpstream> senders(shares.SenderCount());
  std::vector<MonotonicTime> sent;
  for (int ms = 0; ms < 5000; ++ms) {
    const MonotonicTime now = kStart + std::chrono::milliseconds(ms);
    for (ColdUpstream& sender : senders) {
      if (sender.NextRequest(shares.ShareRate(), MonotonicTime()) <= now) {
        sender.OnDispatch(now);
        sent.push_back(now);
      }
    }
  }
  std::size_t most = 0;
  for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
    while (sent[last] - sent[first] >= std::chrono::seconds(1)) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  // Half of the tolerance, which is left for instances that select wrongly.
  CHECK_COMPARE(static_cast<double>(most),
                <=,
                (kTerms.requestsPerSecond_ * kTerms.overage_ + kTerms.slack_) / 2);
  // The rate is used.
  CHECK_COMPARE(static_cast<double>(sent.size()), >=, 0.9 * 5 * kTerms.requestsPerSecond_);
}

// Guards against two lists with nothing in common that exceed the tolerance of a high rate, of
// which one selected instance alone sends more than half.
TEST(ColdLimit, HighRatesAreReducedToHalfOfTheTolerance)
{
  ColdShares shares;
  for (const double rate : { 1.0, 3.8, 12.0, 30.0, 400.0 }) {
    const ColdTerms terms{ rate, 1.5, 8 };
    shares.SetTerms(terms);
    shares.SetFleet(InstanceId("i-0"), MakeInstances(0, 127));
    const double inOneSecond = static_cast<double>(shares.SenderCount()) * (1 + shares.ShareRate());
    CHECK_COMPARE(2 * inOneSecond, <=, rate * terms.overage_ + terms.slack_ + 1e-9);
    CHECK_COMPARE(static_cast<double>(shares.SenderCount()) * shares.ShareRate(), >=, 0.5 * rate);
  }
}

// Guards against the cost of hashing all instances at each change where there is no limit, and of
// computing the selections again at each change of the upstreams.
TEST(ColdLimit, OnlyChangesCount)
{
  ColdShares shares;
  CHECK(!shares.SetFleet(InstanceId("i-0"), MakeInstances(0, 20)));
  CHECK(shares.SetTerms(kTerms));
  CHECK(!shares.SetTerms(kTerms));
  CHECK(shares.SetFleet(InstanceId("i-0"), MakeInstances(0, 20)));
  CHECK(!shares.SetFleet(InstanceId("i-0"), MakeInstances(0, 20)));
  CHECK(shares.SetFleet(InstanceId("i-0"), MakeInstances(0, 21)));
}

// Guards against an instance that restarts and has saved up a request again.
TEST(ColdLimit, InstanceThatHasJustStartedHasNothingSavedUp)
{
  const ColdUpstream upstream;
  CHECK(upstream.NextRequest(2, kStart) == kStart + std::chrono::milliseconds(500));
  CHECK(upstream.NextRequest(2, kStart - std::chrono::seconds(1)) <= kStart);
}

TEST(ColdLimit, TheNewestSourceSaysHowLongAnUpstreamIsCold)
{
  ColdUpstream upstream;
  CHECK(!upstream.IsCold(kStart));
  upstream.ExtendTo(kStart + std::chrono::seconds(3), kStart);
  CHECK(upstream.IsCold(kStart + std::chrono::seconds(2)));
  // An entry that was written before.
  upstream.ExtendTo(kStart + std::chrono::seconds(1), kStart);
  CHECK(upstream.IsCold(kStart + std::chrono::seconds(2)));
  upstream.SetRemaining({}, kStart);
  CHECK(!upstream.IsCold(kStart));
  // It may become cold again at any moment.
  upstream.SetRemaining(std::chrono::seconds(2), kStart);
  CHECK(upstream.IsCold(kStart + std::chrono::seconds(1)));
}

} // namespace boragepier
