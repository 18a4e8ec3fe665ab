#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "boragepier/base/random.h"
#include "boragepier/entry/call.h"
#include "boragepier/entry/pipeline_fakes.h"

#include <CppUTest/TestHarness.h>

// Callers that honour Retry-After and come back to another instance, at upstreams that refuse
// requests by chance or for lack of room, in virtual time.

namespace boragepier {

namespace {

using std::chrono::milliseconds;

constexpr unsigned kSlots = 8;
constexpr unsigned kUpstreams = 8;
constexpr std::size_t kInstances = 4;
constexpr Duration kServiceTime = milliseconds(50);
constexpr Duration kTrip = milliseconds(1);
constexpr Duration kTarget = milliseconds(400);
constexpr Duration kDeadline = milliseconds(1500);
// Requests per second that the upstreams can serve.
constexpr double kRoomPerSecond = kUpstreams * kSlots / 0.05;

// Upstreams with slots and a short queue each. They may also refuse requests by chance.
class SheddingUpstreams
{
public:
  explicit SheddingUpstreams(FakeScheduler& aScheduler)
    : scheduler_(aScheduler)
  {
  }

  http::SendId Send(const http::Target& aTarget,
                    const std::shared_ptr<const http::Request>& aRequest,
                    const http::SendOptions&,
                    std::function<void(http::SendResult)> aDone)
  {
    Upstream& upstream = upstreams_[aTarget.port_];
    const MonotonicTime sentAt = scheduler_.Now();
    const auto respond = [this, sentAt, done = std::move(aDone)](int aStatus, unsigned aInFlight) {
      http::SendResult result;
      result.outcome_ = Outcome::Answered;
      result.latency_ = scheduler_.Now() - sentAt;
      result.response_.status_ = aStatus;
      result.response_.headers_.Set(kLoadHeader, "in-flight=" + std::to_string(aInFlight));
      if (aStatus != 200) {
        result.response_.headers_.Set(kNotRunHeader, "true");
      }
      done(std::move(result));
    };
    if (aRequest->target_ == "/health") {
      scheduler_.After(kTrip, [respond, &upstream] { respond(200, upstream.inFlight_ + 1); });
      return {};
    }
    ++attempts_;
    const bool shed = static_cast<double>(random_(1000)) < 1000 * shedShare_;
    if (shed || upstream.inFlight_ >= kSlots + kMaxQueue) {
      scheduler_.After(kTrip, [respond, &upstream] { respond(429, upstream.inFlight_ + 1); });
      return {};
    }
    ++upstream.inFlight_;
    // The slot that becomes free first.
    auto& slot = *std::min_element(upstream.freeAt_.begin(), upstream.freeAt_.end());
    slot = std::max(slot, scheduler_.Now()) + kServiceTime;
    scheduler_.After(slot - scheduler_.Now(), [respond, &upstream] {
      respond(200, upstream.inFlight_);
      --upstream.inFlight_;
    });
    return {};
  }
  Outcome Cancel(http::SendId) { return Outcome::Unknown; }
  void Withdraw(const http::Target&) {}

  FakeScheduler& scheduler_;
  double shedShare_ = 0;
  int attempts_ = 0;

private:
  static constexpr unsigned kMaxQueue = 2;
  struct Upstream
  {
    unsigned inFlight_ = 0;
    std::array<MonotonicTime, kSlots> freeAt_{};
  };

  std::map<std::uint16_t, Upstream> upstreams_;
  Random random_{ 11 };
};

const WireDialect&
ReturningDialect()
{
  static const WireDialect dialect = [] {
    WireDialect returning = NativeDialect();
    returning.callersReturn_ = true;
    return returning;
  }();
  return dialect;
}

RoutingTable
MakeTable()
{
  RoutingTable table;
  ServiceRoute& service = table.services_.emplace_back();
  service.version_ = 1;
  service.config_.name_ = ServiceName("a");
  service.config_.policy_ = PolicyKind::FreshProbes;
  service.config_.probePath_ = "/health";
  service.config_.probesPerUpstreamSecond_ = 100;
  service.config_.retryRatio_ = 0.2;
  service.config_.retrySlack_ = 50;
  for (unsigned i = 0; i < kUpstreams; ++i) {
    UpstreamEndpoint endpoint;
    endpoint.id_ = UpstreamId("u" + std::to_string(i));
    endpoint.address_ = "127.0.0.1";
    endpoint.port_ = static_cast<std::uint16_t>(9001 + i);
    endpoint.zone_ = ZoneName("a");
    endpoint.slots_ = kSlots;
    endpoint.startNumber_ = 1;
    service.upstreams_.push_back(endpoint);
  }
  RouteConfig route;
  route.name_ = "r";
  route.host_ = "shop.example";
  route.pathPrefix_ = "/a/";
  route.services_ = { { ServiceName("a"), 1 } };
  route.maxAttempts_ = 2;
  route.timeLimit_ = kDeadline;
  route.latencyTarget_ = kTarget;
  table.routes_ = std::make_shared<const RouteSet>(std::span(&route, 1));
  for (std::size_t i = 0; i < kInstances; ++i) {
    table.instances_.emplace_back("i" + std::to_string(i));
  }
  return table;
}

} // namespace

/// Instances before simulated upstreams, and callers that obey.
TEST_GROUP(RefusedCallers)
{
  using Pipeline = RequestPipeline<FakeScheduler, SheddingUpstreams, FakeClaimCoordinator>;

  struct Instance
  {
    std::unique_ptr<ServiceRouter> router_;
    std::unique_ptr<Pipeline> pipeline_;
  };
  struct Caller
  {
    MonotonicTime firstSent_;
    int sent_ = 0;
    int refused_ = 0;
    MonotonicTime returnedAt_;
    bool served_ = false;
    bool inTime_ = false;
  };

  FakeScheduler scheduler_;
  SheddingUpstreams upstreams_{ scheduler_ };
  FakeClaimCoordinator claims_;
  FakeObserver observer_;
  std::vector<Instance> instances_;
  std::vector<std::unique_ptr<Caller>> callers_;
  Random random_{ 5 };
  int requests_ = 0; ///< sent by callers

  void setup() override
  {
    const RoutingTable table = MakeTable();
    for (std::size_t i = 0; i < kInstances; ++i) {
      Instance& instance = instances_.emplace_back();
      instance.router_ = std::make_unique<ServiceRouter>(table.instances_[i], ZoneName("a"), i + 1);
      instance.router_->Apply(table, scheduler_.Now());
      instance.pipeline_ = std::make_unique<Pipeline>(
        PipelineDependencies<FakeScheduler, SheddingUpstreams, FakeClaimCoordinator>{
          scheduler_,
          upstreams_,
          claims_,
          *instance.router_,
          observer_,
          [] { return WallTime(); },
          ReturningDialect() },
        std::to_string(i) + '-',
        1);
    }
  }

  class Exchange : public FakeExchange
  {
  public:
    Exchange(http::Request aRequest,
             MonotonicTime aArrival,
             std::function<void(const http::Response&)> aDone)
      : FakeExchange(std::move(aRequest), aArrival)
      , done_(std::move(aDone))
    {
    }
    void Respond(http::Response aResponse) override
    {
      done_(aResponse);
      FakeExchange::Respond(std::move(aResponse));
    }

  private:
    std::function<void(const http::Response&)> done_;
  };

  void SendNow(Caller & aCaller, std::size_t aInstance)
  {
    const Duration left = aCaller.firstSent_ + kDeadline - scheduler_.Now();
    ++aCaller.sent_;
    ++requests_;
    http::Request request;
    request.method_ = "POST";
    request.target_ = "/a/1";
    request.headers_.Add("Host", "shop.example");
    request.headers_.Add(kDeadlineHeader,
                         std::to_string(std::chrono::duration_cast<milliseconds>(left).count()));
    instances_[aInstance].pipeline_->Handle(
      std::make_shared<Exchange>(std::move(request),
                                 scheduler_.Now(),
                                 [this, &aCaller, aInstance](const http::Response& aResponse) {
                                   OnResponse(aCaller, aInstance, aResponse);
                                 }));
  }

  void OnResponse(Caller & aCaller, std::size_t aInstance, const http::Response& aResponse)
  {
    const MonotonicTime now = scheduler_.Now();
    if (aResponse.status_ == 200) {
      aCaller.served_ = true;
      aCaller.inTime_ = now <= aCaller.firstSent_ + kTarget;
      return;
    }
    const auto retryAfter = aResponse.headers_.Get("Retry-After");
    ++aCaller.refused_;
    if (!retryAfter || aCaller.sent_ > 1) {
      return;
    }
    const Duration left = aCaller.firstSent_ + kDeadline - now;
    const Duration wait =
      std::min(FromMilliseconds(1000 * std::strtod(std::string(*retryAfter).c_str(), nullptr)),
               Duration(left / 3));
    const std::size_t other = (aInstance + 1 + random_(kInstances - 1)) % kInstances;
    aCaller.returnedAt_ = now + wait;
    scheduler_.After(wait, [this, &aCaller, other] { SendNow(aCaller, other); });
  }

  // New callers at a rate; returns the index of the first.
  std::size_t Run(double aPerSecond, Duration aTime)
  {
    const std::size_t first = callers_.size();
    const auto count = static_cast<int>(aPerSecond * ToMilliseconds(aTime) / 1000);
    for (int i = 0; i < count; ++i) {
      scheduler_.After(FromMilliseconds(static_cast<double>(random_(static_cast<std::uint64_t>(
                                          1000 * ToMilliseconds(aTime)))) /
                                        1000),
                       [this] {
                         callers_.push_back(std::make_unique<Caller>());
                         callers_.back()->firstSent_ = scheduler_.Now();
                         SendNow(*callers_.back(), random_(kInstances));
                       });
    }
    scheduler_.Advance(aTime);
    return first;
  }

  struct Result
  {
    int callers_ = 0;
    int refused_ = 0;
    int refusedAgain_ = 0;
    int served_ = 0;
    int inTime_ = 0;
    int mostReturnsIn50Ms_ = 0;
  };

  Result Summarize(std::size_t aFirst, std::size_t aEnd) const
  {
    Result result;
    std::vector<MonotonicTime> returns;
    for (std::size_t i = aFirst; i < aEnd; ++i) {
      const Caller& caller = *callers_[i];
      ++result.callers_;
      result.refused_ += caller.refused_ > 0 ? 1 : 0;
      result.refusedAgain_ += caller.refused_ > 1 ? 1 : 0;
      result.served_ += caller.served_ ? 1 : 0;
      result.inTime_ += caller.inTime_ ? 1 : 0;
      if (caller.refused_ > 0) {
        returns.push_back(caller.returnedAt_);
      }
    }
    std::sort(returns.begin(), returns.end());
    for (auto first = returns.begin(); first != returns.end(); ++first) {
      const auto end = std::lower_bound(first, returns.end(), *first + milliseconds(50));
      result.mostReturnsIn50Ms_ =
        std::max(result.mostReturnsIn50Ms_, static_cast<int>(end - first));
    }
    return result;
  }
};

// Guards against callers that are refused by chance and either come back too late for their latency
// target, or are refused again. The trouble follows ordinary traffic, which has filled the retry
// budget.
TEST(RefusedCallers, FewAreRefusedAgainWhileUpstreamsShedByChance)
{
  Run(500, std::chrono::seconds(10));
  upstreams_.shedShare_ = 0.55;
  const std::size_t first = Run(500, std::chrono::seconds(2));
  const std::size_t end = callers_.size();
  upstreams_.shedShare_ = 0;
  Run(500, std::chrono::seconds(2));
  const Result trouble = Summarize(first, end);
  CHECK_COMPARE(trouble.refused_, >=, 200);
  CHECK_COMPARE(trouble.refusedAgain_ * 20, <=, trouble.refused_);
  CHECK_COMPARE(trouble.inTime_ * 100, >=, trouble.callers_ * 98);
  // 25 callers come in this time.
  CHECK_COMPARE(trouble.mostReturnsIn50Ms_, <=, 30);
  const Result after = Summarize(end, callers_.size());
  CHECK_COMPARE(after.refused_ * 50, <=, after.callers_);
}

// Guards against callers that are sent back at once without end: when the trouble lasts, the retry
// budget is used up, and most of those that come back are served from its last part.
TEST(RefusedCallers, MostAreServedWhileUpstreamsShedByChanceForLong)
{
  Run(500, std::chrono::seconds(10));
  upstreams_.shedShare_ = 0.55;
  const int attemptsBefore = upstreams_.attempts_;
  const int requestsBefore = requests_;
  Run(500, std::chrono::seconds(10));
  // The budget of a window of 10 s: a ratio of 0.2 and a slack of 50.
  const int requests = requests_ - requestsBefore;
  const int attempts = upstreams_.attempts_ - attemptsBefore;
  CHECK_COMPARE(attempts - requests, <=, 0.2 * requests + 50);
  const std::size_t first = Run(500, std::chrono::seconds(5));
  const std::size_t end = callers_.size();
  Run(500, std::chrono::seconds(1));
  const Result trouble = Summarize(first, end);
  CHECK_COMPARE(trouble.inTime_ * 10, >=, trouble.callers_ * 9);
  CHECK_COMPARE(trouble.refusedAgain_ * 5, <=, trouble.refused_);
}

// Guards against callers without room that come back together, add to the load and take the room
// from those that can still be answered in time.
TEST(RefusedCallers, ReturnsFitTheRoomAtOverload)
{
  Run(0.8 * kRoomPerSecond, std::chrono::seconds(3));
  const std::size_t first = Run(1.3 * kRoomPerSecond, std::chrono::seconds(4));
  const std::size_t end = callers_.size();
  Run(0.8 * kRoomPerSecond, std::chrono::seconds(2));
  const Result overload = Summarize(first, end);
  CHECK_COMPARE(overload.inTime_, >=, 0.98 * 4 * kRoomPerSecond);
  CHECK_COMPARE(overload.mostReturnsIn50Ms_, <=, kRoomPerSecond / 20);
  const Result after = Summarize(end, callers_.size());
  CHECK_COMPARE(after.refused_ * 50, <=, after.callers_);
  CHECK_COMPARE(after.mostReturnsIn50Ms_, <=, kRoomPerSecond / 100);
}

} // namespace boragepier
