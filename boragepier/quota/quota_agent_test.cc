#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "boragepier/quota/quota_agent.h"
#include "boragepier/quota/quota_fakes.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Agent = QuotaAgent<FreezableScheduler, QuotaTransport>;

/// Scheduler whose tasks run when the test says so; Post() is thread-safe.
class ManualScheduler
{
public:
  MonotonicTime Now() const { return std::chrono::steady_clock::now(); }
  net::TimerId After(Duration, const std::function<void()>&) { return net::TimerId::None; }
  void Cancel(net::TimerId) {}
  void Post(std::function<void()> aTask)
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(aTask));
  }
  void RunTasks()
  {
    std::vector<std::function<void()>> tasks;
    {
      const std::lock_guard lock(mutex_);
      tasks.swap(tasks_);
    }
    for (const auto& task : tasks) {
      task();
    }
  }

private:
  std::mutex mutex_;
  std::vector<std::function<void()>> tasks_;
};

/// Transport without peers.
struct NoPeers
{
  void Start(const PeerEndpoint&, const PeerMessageCallback&, const PeerUnreachableCallback&) {}
  std::size_t Send(const PeerEndpoint&, const PeerMessage&) { return 0; }
  PeerCounters Counters() const { return {}; }
};

Team
MakeTeam(double aRate, double aBurst)
{
  Team team;
  team.terms_.name_ = TeamName("t");
  team.terms_.ratePerSecond_ = aRate;
  team.terms_.burst_ = aBurst;
  team.id_ = TeamIdOf(team.terms_.name_);
  return team;
}

std::shared_ptr<const TeamDirectory>
MakeDirectory(const Team& aTeam)
{
  auto directory = std::make_shared<TeamDirectory>();
  directory->SetTeams(std::span(&aTeam.terms_, 1));
  return directory;
}

} // namespace

TEST_GROUP(QuotaAgent)
{
  FakeScheduler scheduler_;
  QuotaNetwork network_{ scheduler_ };
  FreezableScheduler instanceScheduler_{ scheduler_ };
  QuotaTransport peers_{ network_, instanceScheduler_ };
  Agent agent_{ instanceScheduler_,      peers_, InstanceId("self"), ZoneName("z"),
                { seconds(5), 0.1, 20 }, 5 };
  Team team_ = MakeTeam(8, 8);
  int admitted_ = 0;
  int refused_ = 0;
  InstanceId reportedOwner_;

  void setup() override
  {
    peers_.Start(
      { InstanceId("self"), "127.0.0.1", 7 },
      [this](const PeerEndpoint& aSender, const PeerMessage& aMessage, std::size_t) {
        agent_.OnMessage(aSender, aMessage);
      },
      [this](const InstanceId& aPeer) { agent_.OnUnreachable(aPeer); });
    agent_.SetInstances(std::vector<InstanceEntry>{ Entry("self") });
    agent_.SetTeams(MakeDirectory(team_));
    agent_.OnTeamRefused(
      [this](const TeamName&, const InstanceId& aOwner, Duration) { reportedOwner_ = aOwner; });
  }

  static InstanceEntry Entry(const std::string& aId)
  {
    return { InstanceId(aId), "127.0.0.1", 7, 100, ZoneName("z") };
  }

  void OnVerdict(const QuotaVerdict& aVerdict)
  {
    admitted_ += aVerdict.kind_ == QuotaVerdict::Kind::Admitted ? 1 : 0;
    refused_ += aVerdict.kind_ == QuotaVerdict::Kind::Refused ? 1 : 0;
  }

  void Request()
  {
    const MonotonicTime now = scheduler_.Now();
    OnVerdict(agent_.Admit(
      team_, now, now + milliseconds(250), [this](const auto& aVerdict) { OnVerdict(aVerdict); }));
  }

  // Sends requests for a time, at a multiple of the quota.
  void Load(Duration aTime, double aFactor = 10)
  {
    admitted_ = refused_ = 0;
    const MonotonicTime end = scheduler_.Now() + aTime;
    while (scheduler_.Now() < end) {
      Request();
      scheduler_.Advance(FromMilliseconds(1000 / (8 * aFactor)));
    }
  }
};

TEST(QuotaAgent, OwnerOfAllSharesNeedsNoMessages)
{
  Load(seconds(20), 0.6);
  CHECK_EQUAL(0, refused_);
  CHECK_EQUAL(0U, network_.messages_);
  Load(seconds(20));
  CHECK(refused_ > 0);
  CHECK(admitted_ >= 8 * 20);
  agent_.Tick();
  CHECK(reportedOwner_ == InstanceId("self"));
}

// Guards against a limit that is lowered and binds late.
TEST(QuotaAgent, LoweredLimitBindsAtOnce)
{
  Load(seconds(20), 0.6);
  team_ = MakeTeam(1, 1);
  agent_.SetTeams(MakeDirectory(team_));
  Load(seconds(5));
  CHECK(admitted_ <= (1 * 5 + 1) * 1.1 + 20);
}

TEST(QuotaAgent, UnknownTeamGetsNoCredit)
{
  agent_.SetTeams(nullptr);
  Load(seconds(2));
  CHECK_EQUAL(0, admitted_);
  agent_.SetTeams(MakeDirectory(team_));
  Load(seconds(2));
  CHECK(admitted_ > 0);
}

// Guards against peers that ask for shares that do not exist or that this instance does not own.
TEST(QuotaAgent, StrangeQuestionsGetNothing)
{
  QuotaTransport other{ network_, instanceScheduler_ };
  std::vector<PeerQuotaGrant> grants;
  other.Start(
    { InstanceId("other"), "127.0.0.1", 7 },
    [&](const PeerEndpoint&, const PeerMessage& aMessage, std::size_t) {
      grants.push_back(std::get<PeerQuotaGrant>(aMessage));
    },
    [](const InstanceId&) {});
  const PeerEndpoint self{ InstanceId("self"), "127.0.0.1", 7 };
  for (const PeerQuotaRequest::Item& item :
       { PeerQuotaRequest::Item{ team_.id_, QuotaPlan::kMaxShares, 1 },
         PeerQuotaRequest::Item{ team_.id_, ~std::uint32_t{ 0 }, 1 },
         PeerQuotaRequest::Item{ team_.id_ + 1, 0, 1 },
         PeerQuotaRequest::Item{ team_.id_, 0, 0 } }) {
    other.Send(self, PeerQuotaRequest{ 7, { item } });
    scheduler_.Advance(milliseconds(20));
    CHECK_EQUAL(0U, grants.back().items_.front().granted_);
    CHECK(grants.back().items_.front().deniedForMs_ > 0);
  }
  other.Send(self, PeerQuotaRequest{ 8, { { team_.id_, 0, 1 } } });
  scheduler_.Advance(milliseconds(20));
  CHECK_EQUAL(1U, grants.back().items_.front().granted_);
  // Another owner: this one stops at once.
  std::vector<InstanceEntry> instances{ Entry("self"), Entry("other") };
  agent_.SetInstances(instances);
  int granted = 0;
  for (std::uint32_t share = 0; share < QuotaPlan::kMaxShares; ++share) {
    other.Send(self, PeerQuotaRequest{ 9, { { team_.id_, share, 1 } } });
    scheduler_.Advance(milliseconds(20));
    granted += static_cast<int>(grants.back().items_.front().granted_);
  }
  CHECK_EQUAL(2, granted); // two instances share the four shares
  other.Stop();
}

// Guards against a wait of 250 ms for each request while an owner is down.
TEST(QuotaAgent, OwnerThatIsGoneIsReplacedByAnotherShare)
{
  std::vector<InstanceEntry> instances{ Entry("self"), Entry("gone") };
  agent_.SetInstances(instances);
  scheduler_.Advance(seconds(20)); // the buckets fill
  Load(seconds(20), 0.3);
  CHECK_EQUAL(0, refused_);
}

// Run with ThreadSanitizer: requests come in traffic threads.
TEST(QuotaAgent, RequestsComeInOtherThreads)
{
  ManualScheduler scheduler;
  NoPeers peers;
  QuotaAgent<ManualScheduler, NoPeers> agent{
    scheduler, peers, InstanceId("self"), ZoneName("z"), { seconds(5), 0.1, 20 }, 5
  };
  agent.SetInstances(std::vector<InstanceEntry>{ Entry("self") });
  const Team team = MakeTeam(1000, 1000);
  agent.SetTeams(MakeDirectory(team));
  std::atomic<int> verdicts = 0;
  std::vector<std::thread> threads;
  threads.reserve(3);
  for (int i = 0; i < 3; ++i) {
    threads.emplace_back([&] {
      for (int request = 0; request < 1000; ++request) {
        const MonotonicTime now = scheduler.Now();
        const QuotaVerdict verdict =
          agent.Admit(team, now, now + seconds(60), [&](const QuotaVerdict&) { ++verdicts; });
        if (verdict.kind_ == QuotaVerdict::Kind::Admitted) {
          agent.Return(verdict.credit_, now);
        }
        verdicts += verdict.kind_ == QuotaVerdict::Kind::Waits ? 0 : 1;
      }
    });
  }
  while (verdicts < 3000) {
    scheduler.RunTasks();
    agent.Tick();
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK_EQUAL(3000, verdicts);
}

} // namespace boragepier
