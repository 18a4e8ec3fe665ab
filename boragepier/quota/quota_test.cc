#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "boragepier/quota/quota_ledger.h"
#include "boragepier/quota/quota_owner.h"
#include "boragepier/quota/quota_ownership.h"
#include "boragepier/quota/quota_plan.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kTeam = 17;

MonotonicTime
At(Duration aTime)
{
  return MonotonicTime(std::chrono::hours(1)) + aTime;
}

TeamTerms
MakeTerms(double aRate, double aBurst)
{
  TeamTerms terms;
  terms.name_ = TeamName("t");
  terms.ratePerSecond_ = aRate;
  terms.burst_ = aBurst;
  return terms;
}

InstanceEntry
MakeInstance(const std::string& aId, double aCapacity = 100, const std::string& aZone = "z")
{
  return { InstanceId(aId), "127.0.0.1", 7, aCapacity, ZoneName(aZone) };
}

std::vector<InstanceEntry>
MakeInstances(int aCount)
{
  std::vector<InstanceEntry> instances;
  instances.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    instances.push_back(MakeInstance("i-" + std::to_string(i)));
  }
  return instances;
}

} // namespace

TEST_GROUP(QuotaPlan){};

// Guards against shares that together grant more than the rules allow, after all owners have
// started again: in the longest time whose credit can be used in one window.
TEST(QuotaPlan, SharesStayWithinTheRules)
{
  for (const double overage : { 0.0, 0.02, 0.1, 0.5 }) {
    for (const double slack : { 0.0, 5.0, 20.0, 200.0 }) {
      for (const double rate : { 1.0, 1.3, 5.0, 40.0, 250.0, 40'000.0 }) {
        for (const double burst : { 0.0, 1.0, 7.0, 250.0, 10'000.0 }) {
          const QuotaRules rules{ seconds(5), overage, slack };
          const QuotaPlan plan = PlanQuota(MakeTerms(rate, burst), rules);
          const double window = 5 + ToMilliseconds(plan.creditLifetime_) / 1000;
          const double granted = plan.shareCount_ * (plan.shareRate_ * window + plan.shareSize_);
          const double bound = (rate * 5 + burst) * (1 + overage) + slack;
          CHECK(plan.shareSize_ >= 1);
          CHECK(granted + plan.shareCount_ * plan.initialCredit_ <= bound * (1 + 1e-9));
        }
      }
    }
  }
}

// Guards against a quota that admits much less than the team may send.
TEST(QuotaPlan, SharesAddUpToTheQuota)
{
  for (const double rate : { 0.8, 2.0, 30.0, 250.0 }) {
    const QuotaPlan plan = PlanQuota(MakeTerms(rate, rate), { seconds(5), 0.1, 20 });
    CHECK_EQUAL(4U, plan.shareCount_);
    CHECK(plan.shareCount_ * plan.shareRate_ >= rate);
    CHECK(plan.shareCount_ * plan.shareSize_ >= rate);
  }
  // Three shares serve a team that sends five eighths of its quota.
  CHECK(PlanQuota(MakeTerms(250, 250), { seconds(5), 0.1, 20 }).shareRate_ * 3 > 250.0 * 5 / 8);
}

// Guards against a bucket that never holds a whole request, so that nothing is ever granted.
TEST(QuotaPlan, SmallQuotaHasFewShares)
{
  const QuotaPlan plan = PlanQuota(MakeTerms(1, 1), { seconds(5), 0, 0 });
  CHECK_EQUAL(1U, plan.shareCount_);
  DOUBLES_EQUAL(1, plan.shareSize_, 1e-9);
  CHECK(PlanQuota(MakeTerms(0.01, 0), { seconds(5), 0, 0 }).shareRate_ > 0);
}

TEST_GROUP(QuotaOwnership){
  static std::vector<InstanceId> OwnersOf(const QuotaOwnership& aOwnership,
                                          std::uint64_t aTeam){ std::vector<InstanceId> owners;
for (const PeerEndpoint* const owner : aOwnership.OwnersOf(aTeam).endpoints_) {
  owners.push_back(owner->id_);
}
return owners;
}
}
;

// Guards against instances that disagree because they learnt of the others in different orders.
TEST(QuotaOwnership, OrderOfTheListDoesNotMatter)
{
  std::vector<InstanceEntry> instances = MakeInstances(20);
  QuotaOwnership first{ InstanceId("i-0") };
  QuotaOwnership second{ InstanceId("i-1") };
  first.SetInstances(instances, At({}));
  std::ranges::reverse(instances);
  second.SetInstances(instances, At({}));
  for (std::uint64_t team = 1; team < 100; ++team) {
    CHECK(OwnersOf(first, team) == OwnersOf(second, team));
  }
}

// Guards against a team that loses more than one share with one owner, or with one zone.
TEST(QuotaOwnership, SharesOfATeamHaveDifferentOwnersAndZones)
{
  std::vector<InstanceEntry> instances;
  instances.reserve(40);
  for (int i = 0; i < 40; ++i) {
    instances.push_back(MakeInstance("i-" + std::to_string(i), 100, "z" + std::to_string(i % 4)));
  }
  QuotaOwnership ownership{ InstanceId("i-0"), ZoneName("z2") };
  ownership.SetInstances(instances, At({}));
  for (std::uint64_t team = 1; team < 100; ++team) {
    std::set<int> zones;
    for (const InstanceId& owner : OwnersOf(ownership, team)) {
      zones.insert(std::stoi(owner.Text().substr(2)) % 4);
    }
    CHECK_EQUAL(4U, zones.size());
    const auto near = ownership.OwnersOf(team).nearShare_;
    CHECK(near.has_value());
    CHECK_EQUAL(2, std::stoi(OwnersOf(ownership, team)[*near].Text().substr(2)) % 4);
  }
}

// Guards against owners on the smallest machines, which answer late.
TEST(QuotaOwnership, OwnersHaveCapacity)
{
  std::vector<InstanceEntry> instances = MakeInstances(4);
  instances.push_back(MakeInstance("small", 20));
  QuotaOwnership ownership{ InstanceId("small") };
  ownership.SetInstances(instances, At({}));
  for (std::uint64_t team = 1; team < 100; ++team) {
    for (const InstanceId& owner : OwnersOf(ownership, team)) {
      CHECK(owner != InstanceId("small"));
    }
  }
}

TEST(QuotaOwnership, FewInstancesOwnAll)
{
  QuotaOwnership ownership{ InstanceId("i-0") };
  CHECK(ownership.OwnerOf({ kTeam, 0 }) == nullptr);
  CHECK(!ownership.TenureOf({ kTeam, 0 }, At({})));
  ownership.SetInstances(MakeInstances(1), At({}));
  for (std::uint32_t share = 0; share < QuotaPlan::kMaxShares; ++share) {
    CHECK(ownership.Owns({ kTeam, share }));
    // A restart of all instances does not wait for anybody.
    CHECK(ownership.TenureOf({ kTeam, share }, At({}))->grantsFrom_ <= At({}));
  }
}

// Guards against two owners that grant the same credit because their lists differ for a moment.
TEST(QuotaOwnership, NewOwnerWaitsAndFormerOwnerStops)
{
  std::vector<InstanceEntry> instances = MakeInstances(10);
  QuotaOwnership former{ InstanceId("i-0") };
  former.SetInstances(instances, At({}));
  instances.push_back(MakeInstance("new"));
  QuotaOwnership newcomer{ InstanceId("new") };
  newcomer.SetInstances(MakeInstances(10), At({}));
  newcomer.SetInstances(instances, At(seconds(10)));
  bool found = false;
  for (std::uint64_t team = 1; team < 1000 && !found; ++team) {
    const QuotaShareId share{ team, 0 };
    if (!former.Owns(share) || !newcomer.Owns(share)) {
      continue;
    }
    found = true;
    former.SetInstances(instances, At(seconds(11)));
    CHECK(!former.TenureOf(share, At(seconds(11))));
    const auto tenure = newcomer.TenureOf(share, At(seconds(11)));
    CHECK(tenure->grantsFrom_ == At(seconds(10)) + QuotaOwnership::kSettleTime);
    CHECK(tenure->refillsFrom_ == tenure->grantsFrom_);
    // It may grant after the wait, and its bucket does not count the time before.
    const auto later = newcomer.TenureOf(share, At(seconds(20)));
    CHECK(later->grantsFrom_ <= At(seconds(20)));
    CHECK(later->refillsFrom_ == tenure->grantsFrom_);
  }
  CHECK(found);
}

// Guards against a pause of all shares whenever any instance comes.
TEST(QuotaOwnership, UnchangedOwnerDoesNotWait)
{
  std::vector<InstanceEntry> instances = MakeInstances(10);
  QuotaOwnership ownership{ InstanceId("i-0") };
  ownership.SetInstances(instances, At({}));
  std::vector<std::uint64_t> owned;
  for (std::uint64_t team = 1; team < 300; ++team) {
    if (ownership.Owns({ team, 0 })) {
      owned.push_back(team);
    }
  }
  instances.push_back(MakeInstance("new"));
  ownership.SetInstances(instances, At(seconds(10)));
  std::size_t kept = 0;
  for (const std::uint64_t team : owned) {
    if (const auto tenure = ownership.TenureOf({ team, 0 }, At(seconds(10)))) {
      CHECK(tenure->grantsFrom_ <= At(seconds(10)));
      ++kept;
    }
  }
  CHECK(kept >= owned.size() / 2);
}

TEST_GROUP(QuotaOwner)
{
  QuotaOwner owner_;
  const QuotaShareId share_{ kTeam, 1 };
  QuotaPlan plan_{ 4, 10, 5, 2, milliseconds(250) };
  const QuotaTenure tenure_{ At({}), At({}) };

  std::uint32_t Take(std::uint32_t aWanted, Duration aTime)
  {
    return owner_.Take(share_, plan_, tenure_, aWanted, At(aTime)).granted_;
  }
};

TEST(QuotaOwner, BucketStartsWithItsInitialCreditAndRefills)
{
  CHECK_EQUAL(2U, Take(10, {}));
  CHECK_EQUAL(0U, Take(1, {}));
  CHECK_EQUAL(1U, Take(10, milliseconds(100)));
  CHECK_EQUAL(5U, Take(10, seconds(10))); // not more than the size
}

TEST(QuotaOwner, DenialStatesWhenCreditIsThere)
{
  Take(2, {});
  const QuotaDecision first = owner_.Take(share_, plan_, tenure_, 1, At({}));
  CHECK_EQUAL(0U, first.granted_);
  CHECK(first.deniedFor_ == milliseconds(100));
  // The next one comes back after the first.
  const QuotaDecision second = owner_.Take(share_, plan_, tenure_, 1, At({}));
  CHECK(second.deniedFor_ > first.deniedFor_);
  for (int i = 0; i < 1000; ++i) {
    CHECK(owner_.Take(share_, plan_, tenure_, 1, At({})).deniedFor_ <= QuotaOwner::kMaxDenial);
  }
  CHECK_EQUAL(1U, Take(1, milliseconds(100)));
}

// Guards against a new owner that grants while the former one still does.
TEST(QuotaOwner, NothingIsGrantedBeforeTheTenure)
{
  const QuotaTenure tenure{ At(seconds(2)), At(seconds(2)) };
  const QuotaDecision early = owner_.Take(share_, plan_, tenure, 1, At(milliseconds(1500)));
  CHECK_EQUAL(0U, early.granted_);
  CHECK(early.deniedFor_ == milliseconds(500));
  CHECK_EQUAL(2U, owner_.Take(share_, plan_, tenure, 10, At(seconds(2))).granted_);
}

// Guards against a bucket that keeps the credit of a higher limit.
TEST(QuotaOwner, LoweredLimitCutsTheBucketAtOnce)
{
  Take(1, {});
  CHECK_EQUAL(0U, owner_.Take(share_, plan_, tenure_, 0, At(seconds(10))).granted_);
  plan_ = { 4, 1, 1, 1, milliseconds(250) };
  CHECK_EQUAL(1U, Take(10, seconds(10)));
  CHECK_EQUAL(0U, Take(10, milliseconds(10'900)));
}

// Guards against buckets of teams that stay away, which would use up the memory, and against
// credit that a dropped bucket gets anew.
TEST(QuotaOwner, FullBucketsAreDropped)
{
  Take(1, {});
  owner_.DropFull(At(milliseconds(100)));
  CHECK_EQUAL(1U, owner_.BucketCount());
  owner_.DropFull(At(seconds(10)));
  CHECK_EQUAL(0U, owner_.BucketCount());
  CHECK_EQUAL(5U, Take(10, seconds(10)));
  owner_.Retain([](const QuotaShareId&) { return false; });
  CHECK_EQUAL(0U, owner_.BucketCount());
}

TEST_GROUP(QuotaLedger)
{
  QuotaLedger ledger_{ InstanceId("self"), 3 };
  QuotaOwnership ownership_{ InstanceId("self") };
  QuotaPlan plan_{ 4, 10, 5, 2, milliseconds(250) };
  std::vector<QuotaVerdict> verdicts_;

  void setup() override
  {
    ownership_.SetInstances(MakeInstances(8), At({}));
  }

  QuotaVerdict Admit(Duration aTime, std::uint64_t aTeam = kTeam)
  {
    return ledger_.Admit(
      aTeam, plan_, At(aTime), At(aTime + milliseconds(250)), [this](const auto& aVerdict) {
        verdicts_.push_back(aVerdict);
      });
  }

  static void Tell(const QuotaLedger::Verdicts& aVerdicts)
  {
    for (const auto& [callback, verdict] : aVerdicts) {
      callback(verdict);
    }
  }

  std::vector<QuotaLedger::Question> Questions(Duration aTime)
  {
    QuotaLedger::Verdicts verdicts;
    auto questions = ledger_.TakeQuestions(ownership_, At(aTime), verdicts);
    Tell(verdicts);
    return questions;
  }

  QuotaLedger::Question OneQuestion(Duration aTime)
  {
    const auto questions = Questions(aTime);
    CHECK_EQUAL(1U, questions.size());
    return questions.front();
  }

  void Grant(const QuotaLedger::Question& aQuestion,
             std::uint32_t aGranted,
             std::uint32_t aDeniedForMs,
             Duration aTime)
  {
    PeerQuotaGrant grant{ aQuestion.request_.sequence_, {} };
    for (const auto& item : aQuestion.request_.items_) {
      grant.items_.push_back({ item.team_, item.share_, aGranted, aDeniedForMs });
    }
    QuotaLedger::Verdicts verdicts;
    ledger_.OnGrant(aQuestion.owner_.id_, grant, At(aTime), verdicts);
    Tell(verdicts);
  }

  void Advance(Duration aTime)
  {
    QuotaLedger::Verdicts verdicts;
    ledger_.Advance(At(aTime), verdicts);
    Tell(verdicts);
  }

  bool IsAdmitted(std::size_t aIndex) const
  {
    return verdicts_.at(aIndex).kind_ == QuotaVerdict::Kind::Admitted;
  }
  bool Waits(Duration aTime)
  {
    return Admit(aTime).kind_ == QuotaVerdict::Kind::Waits;
  }
  bool Admits(Duration aTime)
  {
    return Admit(aTime).kind_ == QuotaVerdict::Kind::Admitted;
  }
};

TEST(QuotaLedger, WaitingRequestsAreAskedForTogether)
{
  CHECK(Waits({}));
  CHECK(Waits({}));
  CHECK(Waits({}));
  const auto question = OneQuestion({});
  CHECK_EQUAL(3U, question.request_.items_.front().wanted_);
  Grant(question, 3, 0, milliseconds(5));
  CHECK_EQUAL(3U, verdicts_.size());
  CHECK(IsAdmitted(0) && IsAdmitted(1) && IsAdmitted(2));
  CHECK(Questions(milliseconds(5)).empty());
}

// Guards against a grant that is on its way for long, or held by a frozen instance, and prolongs
// the time in which credit can be used.
TEST(QuotaLedger, CreditEndsAfterItsQuestionNotAfterItsArrival)
{
  Waits({});
  Waits({});
  auto question = OneQuestion({});
  question.request_.items_.front().wanted_ = 2;
  Grant(question, 2, 0, milliseconds(249));
  // One of the two waits no longer than 250 ms, so both are served just in time.
  CHECK(IsAdmitted(0));
  CHECK(verdicts_.at(0).credit_.endsAt_ == At(milliseconds(250)));
  CHECK(Waits(milliseconds(251)));
}

TEST(QuotaLedger, GrantAfterTheEndOfItsCreditIsIgnored)
{
  Waits({});
  const auto question = OneQuestion({});
  Advance(milliseconds(100));
  Grant(question, 1, 0, milliseconds(250));
  for (std::size_t i = 0; i < verdicts_.size(); ++i) {
    CHECK(!IsAdmitted(i));
  }
}

// Guards against credit that is counted twice, and credit that nobody granted.
TEST(QuotaLedger, EachQuestionIsAnsweredOnceByItsOwner)
{
  Waits({});
  const auto question = OneQuestion({});
  QuotaLedger::Question forged = question;
  forged.owner_.id_ = InstanceId("other");
  Grant(forged, 1, 0, milliseconds(5));
  CHECK(verdicts_.empty());
  Grant(question, 100, 0, milliseconds(5)); // more than was asked for
  CHECK_EQUAL(1U, verdicts_.size());
  Grant(question, 1, 0, milliseconds(6));
  CHECK(Waits(milliseconds(6)));
}

TEST(QuotaLedger, ReturnedCreditServesTheNextRequestUntilItsEnd)
{
  Waits({});
  Grant(OneQuestion({}), 1, 0, milliseconds(5));
  ledger_.Return(verdicts_.at(0).credit_, At(milliseconds(10)));
  CHECK(Admits(milliseconds(11)));
  CHECK(Waits(milliseconds(12)));
  // Not beyond its end.
  ledger_.Return(verdicts_.at(0).credit_, At(milliseconds(250)));
  CHECK(Waits(milliseconds(250)));
  CHECK_EQUAL(1U, verdicts_.size());
}

// Guards against a stock that lasts, so that what an instance holds adds to what others get later.
TEST(QuotaLedger, CreditInStockEnds)
{
  Waits({});
  Grant(OneQuestion({}), 1, 0, milliseconds(5));
  ledger_.Return(verdicts_.at(0).credit_, At(milliseconds(10)));
  CHECK(Waits(milliseconds(250)));
}

TEST(QuotaLedger, NextShareIsAskedAfterADenial)
{
  Waits({});
  std::set<std::uint32_t> shares;
  Duration time{};
  for (int i = 0; i < 4; ++i) {
    const auto question = OneQuestion(time);
    shares.insert(question.request_.items_.front().share_);
    time += milliseconds(5);
    CHECK(verdicts_.empty());
    Grant(question, 0, 300 + static_cast<std::uint32_t>(i) * 100, time);
  }
  CHECK_EQUAL(4U, shares.size());
  CHECK_EQUAL(1U, verdicts_.size());
  CHECK(!IsAdmitted(0));
  // The earliest share has credit 285 ms after the last denial; callers are spread by half of it.
  CHECK(verdicts_.at(0).retryAfter_ >= milliseconds(285));
  CHECK(verdicts_.at(0).retryAfter_ <= milliseconds(428));
}

// Guards against a hot team whose requests each cost messages.
TEST(QuotaLedger, UsedUpQuotaIsRefusedWithoutMessages)
{
  Waits({});
  for (int i = 0; i < 4; ++i) {
    Grant(OneQuestion({}), 0, 500, {});
  }
  for (int i = 0; i < 100; ++i) {
    CHECK(Admit(milliseconds(i)).kind_ == QuotaVerdict::Kind::Refused);
    CHECK(!ledger_.HasQuestions());
  }
  CHECK_EQUAL(1U, ledger_.TakeReports().size()); // not one for each request
  CHECK(Waits(milliseconds(500)));
  CHECK_EQUAL(1U, Questions(milliseconds(500)).size());
}

TEST(QuotaLedger, SilentOwnerIsLeftAside)
{
  Waits({});
  const auto question = OneQuestion({});
  CHECK(ledger_.NextDue() == At(QuotaLedger::kAnswerTimeout));
  Advance(QuotaLedger::kAnswerTimeout);
  const auto second = OneQuestion(QuotaLedger::kAnswerTimeout);
  CHECK(second.owner_.id_ != question.owner_.id_);
  Grant(second, 1, 0, milliseconds(105));
  CHECK(IsAdmitted(0));
  for (std::uint64_t team = 100; team < 150; ++team) {
    Admit(milliseconds(200), team);
  }
  for (const auto& other : Questions(milliseconds(200))) {
    CHECK(other.owner_.id_ != question.owner_.id_);
  }
  ledger_.DropUnused(At(milliseconds(200)));
  // A late answer shows that it is there.
  Grant(question, 1, 0, milliseconds(210));
  CHECK(Admits(milliseconds(211)));
}

TEST(QuotaLedger, UnreachableOwnerIsNotWaitedFor)
{
  Waits({});
  const auto question = OneQuestion({});
  QuotaLedger::Verdicts verdicts;
  ledger_.OnUnreachable(question.owner_.id_, At(milliseconds(1)), verdicts);
  CHECK(verdicts.empty());
  CHECK(OneQuestion(milliseconds(1)).owner_.id_ != question.owner_.id_);
}

// Guards against an instance that is cut off and admits without credit.
TEST(QuotaLedger, NothingIsAdmittedIfNoOwnerAnswers)
{
  Waits({});
  for (int i = 0; i < 4; ++i) {
    if (i == 3) {
      // The first request waits no longer.
      CHECK_EQUAL(1U, verdicts_.size());
      Waits(milliseconds(300));
    }
    OneQuestion(i * QuotaLedger::kAnswerTimeout);
    Advance((i + 1) * QuotaLedger::kAnswerTimeout);
  }
  CHECK_EQUAL(2U, verdicts_.size());
  CHECK(!IsAdmitted(0) && !IsAdmitted(1));
  CHECK(Admit(milliseconds(401)).kind_ == QuotaVerdict::Kind::Refused);
}

TEST(QuotaLedger, NothingIsAdmittedWithoutInstances)
{
  ownership_.SetInstances({}, At({}));
  Waits({});
  CHECK(Questions({}).empty());
  CHECK_EQUAL(1U, verdicts_.size());
  CHECK(!IsAdmitted(0));
}

// Guards against credit for a request whose caller has its answer, and whose time is over.
TEST(QuotaLedger, RequestThatWaitedTooLongGetsNoCredit)
{
  plan_.creditLifetime_ = seconds(1);
  Waits({});
  const auto question = OneQuestion({});
  Grant(question, 1, 0, milliseconds(300));
  CHECK_EQUAL(1U, verdicts_.size());
  CHECK(!IsAdmitted(0));
  CHECK(Admits(milliseconds(301)));
}

// Guards against peers that disconnect this instance because it sends too many messages.
TEST(QuotaLedger, OwnerIsNotAskedTooOften)
{
  std::map<InstanceId, int> messages;
  for (int ms = 0; ms < 1000; ++ms) {
    for (std::uint64_t i = 0; i < 20; ++i) {
      Admit(milliseconds(ms), static_cast<std::uint64_t>(ms) * 20 + i + 1);
    }
    for (const auto& question : Questions(milliseconds(ms))) {
      ++messages[question.owner_.id_];
      Grant(question, 1, 0, milliseconds(ms));
    }
  }
  for (const auto& [owner, count] : messages) {
    CHECK(count <= 1 + Duration(seconds(1)) / QuotaLedger::kQuestionInterval);
  }
  CHECK(ledger_.NextDue().has_value());
  for (const auto& question : Questions(milliseconds(1020))) {
    Grant(question, 1, 0, milliseconds(1020));
  }
  CHECK_EQUAL(20'000U, verdicts_.size());
}

// Guards against an instance that asks for each request although it has many of a team.
TEST(QuotaLedger, CreditIsAskedForTheExpectedDemand)
{
  int questions = 0;
  for (int ms = 0; ms < 10'000; ms += 10) {
    Admit(milliseconds(ms));
    for (const auto& question : Questions(milliseconds(ms))) {
      ++questions;
      Grant(question, question.request_.items_.front().wanted_, 0, milliseconds(ms));
    }
  }
  CHECK(questions < 100); // for 1,000 requests
  for (std::size_t i = 0; i < verdicts_.size(); ++i) {
    CHECK(IsAdmitted(i));
  }
}

// Guards against state that grows with the number of teams that ever came.
TEST(QuotaLedger, UnusedStateIsDropped)
{
  for (std::uint64_t team = 1; team <= 10'000; ++team) {
    Admit({}, team);
  }
  for (int ms = 0; ms < 300; ms += 10) {
    for (const auto& question : Questions(milliseconds(ms))) {
      Grant(question, 1, 0, milliseconds(ms));
    }
  }
  ledger_.DropUnused(At(seconds(1)));
  CHECK_EQUAL(10'000U, ledger_.TeamCount());
  ledger_.DropUnused(At(seconds(11)));
  CHECK_EQUAL(0U, ledger_.TeamCount());
}

} // namespace boragepier
