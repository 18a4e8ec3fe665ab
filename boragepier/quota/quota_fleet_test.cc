#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "boragepier/quota/quota_agent.h"
#include "boragepier/quota/quota_fakes.h"

#include <CppUTest/TestHarness.h>

// Quotas of teams over many instances, in virtual time.

namespace boragepier {

namespace {

constexpr int kZones = 4;
constexpr double kZipfExponent = 1.2;
constexpr double kQuotaFactor = 1.6; ///< quota relative to the usual rate
constexpr Duration kMaxWait = std::chrono::milliseconds(250);
constexpr Duration kStep = std::chrono::milliseconds(10);

struct Instance
{
  Instance(FakeScheduler& aScheduler,
           QuotaNetwork& aNetwork,
           const InstanceEntry& aEntry,
           const QuotaRules& aRules,
           std::uint64_t aSeed)
    : scheduler_(aScheduler)
    , peers_(aNetwork, scheduler_)
    , agent_(scheduler_, peers_, aEntry.id_, aEntry.zone_, aRules, aSeed)
  {
    peers_.Start(
      { aEntry.id_, aEntry.address_, aEntry.port_ },
      [this](const PeerEndpoint& aSender, const PeerMessage& aMessage, std::size_t) {
        agent_.OnMessage(aSender, aMessage);
      },
      [this](const InstanceId& aPeer) { agent_.OnUnreachable(aPeer); });
  }

  FreezableScheduler scheduler_;
  QuotaTransport peers_;
  QuotaAgent<FreezableScheduler, QuotaTransport> agent_;
};

struct TeamLoad
{
  Team team_;
  double usualRate_ = 0;
  double rate_ = 0;            ///< now
  std::vector<int> instances_; ///< that its callers use
  double bound_ = 0;
  std::deque<MonotonicTime> admitted_; ///< within the last window
  std::uint64_t asked_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t totalAdmitted_ = 0;
  double worst_ = 0; ///< largest number in one window, relative to the bound
};

} // namespace

TEST_GROUP(QuotaFleet)
{
  FakeScheduler scheduler_;
  QuotaNetwork network_{ scheduler_ };
  QuotaRules rules_{ std::chrono::seconds(5), 0.1, 20 };
  std::vector<InstanceEntry> entries_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::unique_ptr<Instance>> stopped_;
  std::vector<TeamLoad> teams_;
  std::shared_ptr<TeamDirectory> directory_ = std::make_shared<TeamDirectory>();
  Random random_{ 11 };
  std::uint64_t seed_ = 1;

  void setup() override
  {
    Build(130, 82, 570);
  }

  // Replaces the fleet.
  // @param aRate requests per second of all teams together
  void Build(int aInstances, int aTeams, double aRate)
  {
    for (int i = 0; i < static_cast<int>(instances_.size()); ++i) {
      Kill(i);
    }
    entries_.clear();
    instances_.clear();
    for (int i = 0; i < aInstances; ++i) {
      entries_.push_back(MakeEntry(i));
    }
    teams_.clear();
    directory_ = std::make_shared<TeamDirectory>();
    double sum = 0;
    for (int i = 0; i < aTeams; ++i) {
      sum += std::pow(i + 1, -kZipfExponent);
    }
    for (int i = 0; i < aTeams; ++i) {
      AddTeam(i, aRate * std::pow(i + 1, -kZipfExponent) / sum);
    }
    std::vector<TeamTerms> terms;
    terms.reserve(teams_.size());
    for (const TeamLoad& load : teams_) {
      terms.push_back(load.team_.terms_);
    }
    directory_->SetTeams(terms);
    for (int i = 0; i < aInstances; ++i) {
      instances_.push_back(nullptr);
      Start(i);
    }
  }

  // A few instances have much more capacity than the others.
  static InstanceEntry MakeEntry(int aIndex)
  {
    return { InstanceId("i-" + std::to_string(aIndex)),
             "127.0.0.1",
             7,
             aIndex % 5 == 0 ? 200.0 : 10.0 + aIndex % 30,
             ZoneName("z" + std::to_string(aIndex % kZones)) };
  }

  void AddTeam(int aIndex, double aUsualRate)
  {
    TeamLoad& load = teams_.emplace_back();
    load.usualRate_ = aUsualRate;
    load.rate_ = aUsualRate;
    TeamTerms& terms = load.team_.terms_;
    terms.name_ = TeamName("t-" + std::to_string(aIndex));
    terms.ratePerSecond_ = kQuotaFactor * aUsualRate;
    terms.burst_ = terms.ratePerSecond_;
    load.team_.id_ = TeamIdOf(terms.name_);
    load.bound_ = (terms.ratePerSecond_ * 5 + terms.burst_) * 1.1 + 20;
    // A team has some callers, and each uses one instance.
    const int callers =
      std::min(static_cast<int>(entries_.size()), 2 + static_cast<int>(2 * aUsualRate));
    for (int caller = 0; caller < callers; ++caller) {
      load.instances_.push_back(static_cast<int>(random_() % entries_.size()));
    }
  }

  void Start(int aIndex)
  {
    auto& slot = instances_[static_cast<std::size_t>(aIndex)];
    slot = std::make_unique<Instance>(
      scheduler_, network_, entries_[static_cast<std::size_t>(aIndex)], rules_, ++seed_);
    slot->agent_.SetTeams(directory_);
    slot->agent_.SetInstances(entries_);
  }

  void Kill(int aIndex)
  {
    auto& slot = instances_[static_cast<std::size_t>(aIndex)];
    if (!slot) {
      return;
    }
    slot->peers_.Stop();
    slot->scheduler_.Stop();
    stopped_.push_back(std::move(slot)); // timers refer to it
  }

  double Uniform()
  {
    return std::ldexp(static_cast<double>(random_() >> 11U), -53);
  }

  int Poisson(double aMean)
  {
    int count = 0;
    for (double product = Uniform(); product > std::exp(-aMean); product *= Uniform()) {
      ++count;
    }
    return count;
  }

  void OnAdmitted(TeamLoad & aTeam)
  {
    const MonotonicTime now = scheduler_.Now();
    ++aTeam.totalAdmitted_;
    aTeam.admitted_.push_back(now);
    while (aTeam.admitted_.front() <= now - rules_.window_) {
      aTeam.admitted_.pop_front();
    }
    aTeam.worst_ =
      std::max(aTeam.worst_, static_cast<double>(aTeam.admitted_.size()) / aTeam.bound_);
  }

  void Request(TeamLoad & aTeam)
  {
    const auto& slot =
      instances_[static_cast<std::size_t>(aTeam.instances_[random_() % aTeam.instances_.size()])];
    if (!slot || slot->scheduler_.IsFrozen()) {
      return; // the caller turns to another instance
    }
    ++aTeam.asked_;
    const MonotonicTime now = scheduler_.Now();
    const auto ended = std::make_shared<bool>(false);
    const auto refuse = [&aTeam, ended] {
      if (!std::exchange(*ended, true)) {
        ++aTeam.refused_;
      }
    };
    auto& agent = slot->agent_;
    const QuotaVerdict verdict =
      agent.Admit(aTeam.team_,
                  now,
                  now + kMaxWait,
                  [this, &aTeam, &agent, ended, refuse](const auto& aVerdict) {
                    if (aVerdict.kind_ != QuotaVerdict::Kind::Admitted) {
                      refuse();
                    } else if (std::exchange(*ended, true)) {
                      agent.Return(aVerdict.credit_, scheduler_.Now());
                    } else {
                      OnAdmitted(aTeam);
                    }
                  });
    if (verdict.kind_ == QuotaVerdict::Kind::Admitted) {
      *ended = true;
      OnAdmitted(aTeam);
    } else if (verdict.kind_ == QuotaVerdict::Kind::Refused) {
      refuse();
    } else {
      scheduler_.After(kMaxWait, refuse);
    }
  }

  void Run(Duration aDuration)
  {
    const MonotonicTime end = scheduler_.Now() + aDuration;
    int step = 0;
    while (scheduler_.Now() < end) {
      for (TeamLoad& team : teams_) {
        for (int i = Poisson(team.rate_ * ToMilliseconds(kStep) / 1000); i > 0; --i) {
          scheduler_.After(FromMilliseconds(Uniform() * ToMilliseconds(kStep)),
                           [this, &team] { Request(team); });
        }
      }
      scheduler_.Advance(kStep);
      if (++step % 100 == 0) {
        for (const auto& instance : instances_) {
          if (instance && !instance->scheduler_.IsFrozen()) {
            instance->agent_.Tick();
          }
        }
      }
    }
  }

  void ResetCounts()
  {
    for (TeamLoad& team : teams_) {
      team.asked_ = team.refused_ = team.totalAdmitted_ = 0;
    }
    network_.messages_ = 0;
  }

  double WorstOvershoot() const
  {
    double worst = 0;
    for (const TeamLoad& team : teams_) {
      worst = std::max(worst, team.worst_);
    }
    return worst;
  }

  // Share of the refused requests among those of the teams that keep to their usual rate.
  double RefusedShare() const
  {
    double asked = 0;
    double refused = 0;
    for (const TeamLoad& team : teams_) {
      if (team.rate_ <= team.usualRate_) {
        asked += static_cast<double>(team.asked_);
        refused += static_cast<double>(team.refused_);
      }
    }
    return refused / asked;
  }

  double WorstTeamRefusedShare() const
  {
    double worst = 0;
    for (const TeamLoad& team : teams_) {
      if (team.rate_ <= team.usualRate_ && team.asked_ > 100) {
        worst =
          std::max(worst, static_cast<double>(team.refused_) / static_cast<double>(team.asked_));
      }
    }
    return worst;
  }

  void Print(const char* aName, Duration aDuration) const
  {
    std::printf("%s: worst window %.3f of the bound, refused %.4f, worst team %.4f, "
                "%.2f messages/s and instance\n",
                aName,
                WorstOvershoot(),
                RefusedShare(),
                WorstTeamRefusedShare(),
                MessagesPerSecond(aDuration));
    std::printf("  (%zu instances, %zu teams)\n", instances_.size(), teams_.size());
  }

  // Messages that one instance sends, on average.
  double MessagesPerSecond(Duration aDuration) const
  {
    return static_cast<double>(network_.messages_) / ToMilliseconds(aDuration) * 1000 /
           static_cast<double>(instances_.size());
  }

  int OwnerOf(std::size_t aTeam, std::uint32_t aShare) const
  {
    QuotaOwnership ownership{ InstanceId("x") };
    ownership.SetInstances(entries_, scheduler_.Now());
    const PeerEndpoint* owner = ownership.OwnerOf({ teams_[aTeam].team_.id_, aShare });
    return std::stoi(owner->id_.Text().substr(2));
  }
};

TEST(QuotaFleet, UsualLoadIsAdmitted)
{
  Run(std::chrono::seconds(10));
  ResetCounts();
  Run(std::chrono::seconds(60));
  Print("usual", std::chrono::seconds(60));
  CHECK(WorstOvershoot() <= 1);
  CHECK(RefusedShare() < 0.01);
  // About a question and an answer for each request.
  CHECK(MessagesPerSecond(std::chrono::seconds(60)) < 12);
}

TEST(QuotaFleet, HotTeamKeepsToItsQuota)
{
  for (const std::size_t hot : { std::size_t{ 0 }, std::size_t{ 5 }, std::size_t{ 70 } }) {
    teams_[hot].rate_ = 10 * teams_[hot].usualRate_;
    Run(std::chrono::seconds(10));
    ResetCounts();
    Run(std::chrono::seconds(30));
    Print("hot", std::chrono::seconds(30));
    const double quota = teams_[hot].team_.terms_.ratePerSecond_;
    const double admitted = static_cast<double>(teams_[hot].totalAdmitted_) / 30;
    std::printf("  hot team %zu: %.2f of its quota\n", hot, admitted / quota);
    CHECK(WorstOvershoot() <= 1);
    CHECK(RefusedShare() < 0.01);
    CHECK(admitted > 0.9 * quota);
    CHECK(MessagesPerSecond(std::chrono::seconds(30)) < 15);
    teams_[hot].rate_ = teams_[hot].usualRate_;
  }
}

TEST(QuotaFleet, OwnersAreKilledFrozenAndCut)
{
  teams_[1].rate_ = 10 * teams_[1].usualRate_;
  Run(std::chrono::seconds(10));
  for (int round = 0; round < 4; ++round) {
    const int killed = OwnerOf(1, 0);
    const int frozen = OwnerOf(1, 1);
    const int cut = OwnerOf(0, static_cast<std::uint32_t>(round));
    Kill(killed);
    Run(std::chrono::seconds(3));
    Start(killed);
    if (frozen != killed) {
      instances_[static_cast<std::size_t>(frozen)]->scheduler_.Freeze();
      Run(std::chrono::seconds(3));
      instances_[static_cast<std::size_t>(frozen)]->scheduler_.Wake();
    }
    network_.isolated_.insert(entries_[static_cast<std::size_t>(cut)].id_);
    Run(std::chrono::seconds(4));
    network_.isolated_.clear();
  }
  Print("faults", std::chrono::seconds(40));
  CHECK(WorstOvershoot() <= 1);
}

TEST(QuotaFleet, OneOwnerIsDown)
{
  Run(std::chrono::seconds(10));
  Kill(OwnerOf(0, 0));
  Run(std::chrono::seconds(2));
  ResetCounts();
  Run(std::chrono::seconds(60));
  Print("one owner down", std::chrono::seconds(60));
  CHECK(WorstOvershoot() <= 1);
  CHECK(RefusedShare() < 0.01);
}

TEST(QuotaFleet, AllInstancesStartAgain)
{
  teams_[0].rate_ = 10 * teams_[0].usualRate_;
  Run(std::chrono::seconds(10));
  for (int i = 0; i < static_cast<int>(instances_.size()); ++i) {
    Kill(i);
  }
  Run(std::chrono::milliseconds(500));
  for (int i = 0; i < static_cast<int>(instances_.size()); ++i) {
    Start(i);
  }
  ResetCounts();
  Run(std::chrono::seconds(10));
  Print("mass restart", std::chrono::seconds(10));
  CHECK(WorstOvershoot() <= 1);
  CHECK(RefusedShare() < 0.05);
}

TEST(QuotaFleet, ZoneIsLost)
{
  Run(std::chrono::seconds(10));
  for (int i = 1; i < static_cast<int>(instances_.size()); i += kZones) {
    Kill(i);
  }
  Run(std::chrono::seconds(2));
  ResetCounts();
  Run(std::chrono::seconds(30));
  Print("zone lost", std::chrono::seconds(30));
  CHECK(WorstOvershoot() <= 1);
  CHECK(RefusedShare() < 0.02);
}

// Guards against a new owner and the former one that grant the same share, while the instances
// learn of the new ones at different times.
TEST(QuotaFleet, InstancesAreAdded)
{
  for (TeamLoad& team : teams_) {
    team.rate_ = 10 * team.usualRate_;
  }
  Run(std::chrono::seconds(10));
  for (int added = 0; added < 10; ++added) {
    const int index = static_cast<int>(entries_.size());
    entries_.push_back({ InstanceId("i-" + std::to_string(index)),
                         "127.0.0.1",
                         7,
                         200,
                         ZoneName("z" + std::to_string(added % kZones)) });
    instances_.push_back(nullptr);
    Start(index);
    instances_.back()->agent_.SetInstances(
      std::vector<InstanceEntry>(entries_.begin(), entries_.end() - 1));
    for (const auto& instance : instances_) {
      const Duration delay = FromMilliseconds(Uniform() * 1500);
      instance->scheduler_.After(
        delay, [agent = &instance->agent_, list = entries_] { agent->SetInstances(list); });
    }
    Run(std::chrono::seconds(2));
  }
  Print("instances added", std::chrono::seconds(30));
  CHECK(WorstOvershoot() <= 1);
}

// Guards against processor time and bytes that grow faster than the requests.
TEST(QuotaFleet, MessagesFollowTheRequests)
{
  const auto measure = [this](int aInstances, int aTeams, double aRate) {
    Build(aInstances, aTeams, aRate);
    Run(std::chrono::seconds(5));
    ResetCounts();
    Run(std::chrono::seconds(10));
    Print("size", std::chrono::seconds(10));
    CHECK(WorstOvershoot() <= 1);
    CHECK(RefusedShare() < 0.01);
    return MessagesPerSecond(std::chrono::seconds(10)) * aInstances / aRate;
  };
  for (const int instances : { 65, 130, 260, 472 }) {
    CHECK(measure(instances, 82, 570) < 2.5);
  }
  for (const int teams : { 20, 400 }) {
    CHECK(measure(130, teams, 570) < 2.5);
  }
  // With more requests, one question serves several of them.
  CHECK(measure(130, 82, 5700) < 1.5);
}

} // namespace boragepier
