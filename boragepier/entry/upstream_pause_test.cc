#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "boragepier/entry/call.h"
#include "boragepier/entry/pipeline_fakes.h"

#include <CppUTest/TestHarness.h>

// Upstreams that refuse requests and ask for a pause (503 with Retry-After), in virtual time.

namespace boragepier {

namespace {

// At most this many requests may reach an upstream from kGrace after it has asked for a pause until
// the end of the pause: those that were on their way.
constexpr int kMaxRequestsInPause = 2;
constexpr Duration kGrace = std::chrono::milliseconds(500);
constexpr Duration kServiceTime = std::chrono::milliseconds(20);

// Sends requests to upstreams that respond after kServiceTime as a function of the test says, and
// keeps what arrived there.
class SimulatedUpstreams
{
public:
  struct Arrival
  {
    MonotonicTime at_;
    bool isProbe_ = false;
  };
  struct Pause
  {
    MonotonicTime from_;
    Duration duration_{};
  };
  struct Upstream
  {
    std::vector<Arrival> arrivals_;
    std::vector<Pause> pauses_;
    int running_ = 0;
    int served_ = 0;
  };
  /// Returns the Retry-After with which the upstream refuses a request now, or nothing to serve it.
  using PauseFunction = std::function<std::optional<std::string>(std::uint16_t aPort)>;

  explicit SimulatedUpstreams(FakeScheduler& aScheduler)
    : scheduler_(aScheduler)
  {
  }

  http::SendId Send(const http::Target& aTarget,
                    const std::shared_ptr<const http::Request>& aRequest,
                    const http::SendOptions&,
                    std::function<void(http::SendResult)> aDone)
  {
    const http::SendId id{ ++lastId_ };
    const bool isProbe = aRequest->method_ == "OPTIONS" || aRequest->target_ == "/health";
    Upstream& upstream = upstreams_[aTarget.port_];
    upstream.arrivals_.push_back({ scheduler_.Now(), isProbe });
    upstream.running_ += isProbe ? 0 : 1;
    const MonotonicTime sentAt = scheduler_.Now();
    scheduler_.After(isProbe ? std::chrono::milliseconds(1) : kServiceTime,
                     [this, isProbe, sentAt, port = aTarget.port_, done = std::move(aDone)] {
                       upstreams_[port].running_ -= isProbe ? 0 : 1;
                       http::SendResult result;
                       result.outcome_ = Outcome::Answered;
                       result.latency_ = scheduler_.Now() - sentAt;
                       result.response_ = Respond(port, isProbe);
                       done(std::move(result));
                     });
    return id;
  }
  Outcome Cancel(http::SendId) { return Outcome::Unknown; }
  void Withdraw(const http::Target&) {}

  /// Largest number of requests that reached an upstream in a pause, after the grace time.
  int MostRequestsInPause() const
  {
    int most = 0;
    for (const auto& [port, upstream] : upstreams_) {
      for (const Pause& pause : upstream.pauses_) {
        const auto count = std::count_if(
          upstream.arrivals_.begin(), upstream.arrivals_.end(), [&](const auto& aArrival) {
            return aArrival.at_ > pause.from_ + kGrace &&
                   aArrival.at_ < pause.from_ + pause.duration_;
          });
        most = std::max(most, static_cast<int>(count));
      }
    }
    return most;
  }

  FakeScheduler& scheduler_;
  std::map<std::uint16_t, Upstream> upstreams_;
  PauseFunction pauseFor_ = [](std::uint16_t) { return std::nullopt; };
  int status_ = 503; ///< of refusals

private:
  http::Response Respond(std::uint16_t aPort, bool aProbe)
  {
    Upstream& upstream = upstreams_[aPort];
    http::Response response;
    response.status_ = 200;
    const int inFlight = upstream.running_ + (aProbe ? 0 : 1);
    response.headers_.Set(kLoadHeader, "in-flight=" + std::to_string(inFlight));
    if (aProbe) {
      return response;
    }
    if (const auto pause = pauseFor_(aPort)) {
      response.status_ = status_;
      response.headers_.Set(kNotRunHeader, "true");
      response.headers_.Set("Retry-After", *pause);
      upstream.pauses_.push_back(
        { scheduler_.Now(), FromMilliseconds(1000 * std::strtod(pause->c_str(), nullptr)) });
      return response;
    }
    ++upstream.served_;
    return response;
  }

  std::uint64_t lastId_ = 0;
};

ServiceRoute
MakePausingService(const std::string& aName, int aUpstreams, std::uint16_t aFirstPort)
{
  ServiceRoute route;
  route.version_ = 1;
  route.config_.name_ = ServiceName(aName);
  route.config_.pathPrefix_ = '/' + aName + '/';
  route.config_.probePath_ = "/health";
  route.config_.retrySlack_ = 1000;
  for (int i = 0; i < aUpstreams; ++i) {
    UpstreamEndpoint endpoint;
    endpoint.id_ = UpstreamId(aName + std::to_string(i));
    endpoint.address_ = "127.0.0.1";
    endpoint.port_ = static_cast<std::uint16_t>(aFirstPort + i);
    endpoint.zone_ = ZoneName("a");
    endpoint.startNumber_ = 1;
    route.upstreams_.push_back(endpoint);
  }
  return route;
}

} // namespace

/// One instance before simulated upstreams, and callers.
TEST_GROUP(UpstreamPause)
{
  static constexpr std::uint16_t kFirstPort = 9001;

  FakeScheduler scheduler_;
  SimulatedUpstreams upstreams_{ scheduler_ };
  FakeClaimCoordinator claims_;
  FakeObserver observer_;
  std::unique_ptr<ServiceRouter> router_;
  std::unique_ptr<RequestPipeline<FakeScheduler, SimulatedUpstreams, FakeClaimCoordinator>>
    pipeline_;
  std::vector<std::shared_ptr<FakeExchange>> exchanges_;

  void SetUp(PolicyKind aPolicy, int aUpstreams)
  {
    RoutingTable table;
    table.services_.push_back(MakePausingService("a", aUpstreams, kFirstPort));
    table.services_.back().config_.policy_ = aPolicy;
    SetUp(table);
  }

  void SetUp(const RoutingTable& aTable)
  {
    upstreams_.pauseFor_ = [](std::uint16_t) { return std::nullopt; };
    // Ends what an earlier setup has left.
    scheduler_.Advance(std::chrono::seconds(60));
    router_ = std::make_unique<ServiceRouter>(InstanceId("i"), ZoneName("a"), 7);
    RoutingTable table = aTable;
    table.instances_ = { InstanceId("i") };
    router_->Apply(table, scheduler_.Now());
    pipeline_ =
      std::make_unique<RequestPipeline<FakeScheduler, SimulatedUpstreams, FakeClaimCoordinator>>(
        PipelineDependencies<FakeScheduler, SimulatedUpstreams, FakeClaimCoordinator>{
          scheduler_, upstreams_, claims_, *router_, observer_, [] { return WallTime(); } },
        "i-",
        1);
    // The load of the upstreams is known.
    Send(10, std::chrono::milliseconds(100));
    upstreams_.upstreams_.clear();
    exchanges_.clear();
  }

  std::shared_ptr<FakeExchange> SendOne(const char* aMethod, const char* aPath)
  {
    http::Request request;
    request.method_ = aMethod;
    request.target_ = aPath;
    request.headers_.Add("Host", "shop.example");
    exchanges_.push_back(std::make_shared<FakeExchange>(std::move(request), scheduler_.Now()));
    pipeline_->Handle(exchanges_.back());
    return exchanges_.back();
  }

  // Sends requests one after the other.
  void Send(int aCount, Duration aInterval, const char* aPath = "/a/1")
  {
    for (int i = 0; i < aCount; ++i) {
      SendOne(i % 2 == 0 ? "POST" : "GET", aPath);
      scheduler_.Advance(aInterval);
    }
  }

  int CountStatus(int aStatus) const
  {
    return static_cast<int>(
      std::count_if(exchanges_.begin(), exchanges_.end(), [&](const auto& aExchange) {
        return aExchange->response_ && aExchange->response_->status_ == aStatus;
      }));
  }
};

// Guards against an upstream that asked for a pause and gets requests meanwhile, for each policy:
// one of three, two of three and all of them.
TEST(UpstreamPause, PausedUpstreamGetsNoRequests)
{
  for (const PolicyKind policy :
       { PolicyKind::FreshProbes, PolicyKind::ReportedSubset, PolicyKind::PowerOfTwo }) {
    for (const int pausing : { 1, 2, 3 }) {
      for (const char* const retryAfter : { "1", "1.7", "6" }) {
        SetUp(policy, 3);
        upstreams_.pauseFor_ = [&](std::uint16_t aPort) {
          return aPort < kFirstPort + pausing ? std::optional<std::string>(retryAfter)
                                              : std::nullopt;
        };
        Send(1200, std::chrono::milliseconds(8));
        CHECK_COMPARE(upstreams_.MostRequestsInPause(), <=, kMaxRequestsInPause);
        if (pausing < 3) {
          CHECK_COMPARE(CountStatus(200), >=, 1100);
        }
      }
    }
  }
}

// Guards against callers that wait, or come back too early, while all upstreams of a service pause.
TEST(UpstreamPause, RequestIsRefusedAtOnceWithATrueRetryAfterWhileAllPause)
{
  for (const PolicyKind policy : { PolicyKind::FreshProbes, PolicyKind::ReportedSubset }) {
    SetUp(policy, 2);
    upstreams_.pauseFor_ = [](std::uint16_t aPort) {
      return std::optional<std::string>(aPort == kFirstPort ? "2" : "3");
    };
    for (int i = 0; i < 10; ++i) {
      Send(1, std::chrono::milliseconds(30));
    }
    scheduler_.Advance(std::chrono::milliseconds(500));
    MonotonicTime firstEnd = MonotonicTime::max();
    for (const auto& [port, upstream] : upstreams_.upstreams_) {
      CHECK(!upstream.pauses_.empty());
      firstEnd =
        std::min(firstEnd, upstream.pauses_.back().from_ + upstream.pauses_.back().duration_);
    }
    std::vector<double> delays;
    for (int i = 0; i < 20; ++i) {
      const auto exchange = SendOne("POST", "/a/1");
      CHECK(exchange->response_.has_value());
      CHECK_EQUAL(503, exchange->response_->status_);
      CHECK(exchange->OutcomeField() == "not-run");
      const std::string retryAfter(exchange->response_->headers_.Get("Retry-After").value_or("0"));
      delays.push_back(std::strtod(retryAfter.c_str(), nullptr));
      CHECK(scheduler_.Now() + FromMilliseconds(1000 * delays.back()) >=
            firstEnd - std::chrono::milliseconds(1));
    }
    // Spread, so that callers do not all come back at the same moment.
    const auto [least, most] = std::minmax_element(delays.begin(), delays.end());
    CHECK(*most > *least);
  }
}

// Guards against an upstream that gets all waiting requests at the end of its pause: it is tried by
// one, and the others follow when that one has been served.
TEST(UpstreamPause, UpstreamIsTriedByOneRequestAfterThePause)
{
  for (const PolicyKind policy : { PolicyKind::FreshProbes, PolicyKind::ReportedSubset }) {
    SetUp(policy, 1);
    bool pauses = true;
    upstreams_.pauseFor_ = [&](std::uint16_t) {
      return pauses ? std::optional<std::string>("1") : std::nullopt;
    };
    SendOne("POST", "/a/1");
    scheduler_.Advance(std::chrono::milliseconds(1025));
    auto& upstream = upstreams_.upstreams_[kFirstPort];
    const std::size_t before = upstream.arrivals_.size();
    const auto countRequests = [&] {
      return std::count_if(upstream.arrivals_.begin() + static_cast<std::ptrdiff_t>(before),
                           upstream.arrivals_.end(),
                           [](const auto& aArrival) { return !aArrival.isProbe_; });
    };
    // Still paused: the first of the waiting requests asks for another second.
    for (int i = 0; i < 100; ++i) {
      SendOne("POST", "/a/1");
    }
    scheduler_.Advance(std::chrono::milliseconds(19));
    CHECK_EQUAL(1, countRequests());
    scheduler_.Advance(std::chrono::milliseconds(980));
    CHECK_EQUAL(1, countRequests());
    CHECK_COMPARE(upstreams_.MostRequestsInPause(), <=, kMaxRequestsInPause);
    // Now it serves again.
    pauses = false;
    scheduler_.Advance(std::chrono::milliseconds(60));
    const auto served = upstream.served_;
    for (int i = 0; i < 10; ++i) {
      SendOne("POST", "/a/1");
    }
    scheduler_.Advance(std::chrono::milliseconds(19));
    CHECK_EQUAL(2, countRequests());
    scheduler_.Advance(std::chrono::milliseconds(1000));
    CHECK_COMPARE(upstream.served_ - served, >=, 8);
  }
}

// Guards against a split route that moves the share of a service whose upstreams pause to another.
TEST(UpstreamPause, SplitRouteKeepsItsWeightsWhileAServicePauses)
{
  RoutingTable table;
  table.services_ = { MakePausingService("a", 2, kFirstPort),
                      MakePausingService("b", 2, kFirstPort + 10) };
  for (ServiceRoute& service : table.services_) {
    service.config_.policy_ = PolicyKind::FreshProbes;
  }
  RouteConfig route;
  route.name_ = "split";
  route.host_ = "shop.example";
  route.pathPrefix_ = "/a/";
  route.services_ = { { ServiceName("a"), 0.75 }, { ServiceName("b"), 0.25 } };
  route.timeLimit_ = std::chrono::seconds(2);
  table.routes_ = std::make_shared<const RouteSet>(std::span(&route, 1));
  SetUp(table);
  upstreams_.pauseFor_ = [](std::uint16_t aPort) {
    return aPort < kFirstPort + 10 ? std::optional<std::string>("3") : std::nullopt;
  };
  Send(300, std::chrono::milliseconds(10));
  DOUBLES_EQUAL(0.25, CountStatus(200) / 300.0, 0.03);
  DOUBLES_EQUAL(0.75, CountStatus(503) / 300.0, 0.03);
  CHECK_COMPARE(upstreams_.MostRequestsInPause(), <=, kMaxRequestsInPause);
}

// Guards against a value of Retry-After that takes an upstream out of use for good, and against
// pauses that no refusal asked for.
TEST(UpstreamPause, BadValuesAndOtherStatusesAreIgnored)
{
  for (const char* const value : { "-1",
                                   "nan",
                                   "inf",
                                   "1e9",
                                   "86401",
                                   "soon",
                                   "",
                                   "1 2",
                                   "0x10",
                                   "Sun, 06 Nov 1994 08:49:37 GMT" }) {
    SetUp(PolicyKind::FreshProbes, 1);
    bool refuses = true;
    upstreams_.pauseFor_ = [&](std::uint16_t) {
      return refuses ? std::optional<std::string>(value) : std::nullopt;
    };
    Send(1, std::chrono::milliseconds(1000));
    refuses = false;
    const auto exchange = SendOne("POST", "/a/1");
    scheduler_.Advance(std::chrono::milliseconds(500));
    CHECK(exchange->response_ && exchange->response_->status_ == 200);
  }
  SetUp(PolicyKind::FreshProbes, 1);
  upstreams_.status_ = 429;
  upstreams_.pauseFor_ = [&](std::uint16_t) { return std::optional<std::string>("5"); };
  Send(1, std::chrono::milliseconds(1000));
  upstreams_.pauseFor_ = [](std::uint16_t) { return std::nullopt; };
  const auto exchange = SendOne("POST", "/a/1");
  scheduler_.Advance(std::chrono::milliseconds(500));
  CHECK(exchange->response_ && exchange->response_->status_ == 200);
}

// Guards against a new start of an upstream that inherits the pause of the one before.
TEST(UpstreamPause, PauseEndsWithANewStart)
{
  SetUp(PolicyKind::FreshProbes, 1);
  upstreams_.pauseFor_ = [](std::uint16_t) { return std::optional<std::string>("30"); };
  Send(1, std::chrono::milliseconds(100));
  upstreams_.pauseFor_ = [](std::uint16_t) { return std::nullopt; };
  RoutingTable table;
  table.services_.push_back(MakePausingService("a", 1, kFirstPort));
  table.services_.back().config_.policy_ = PolicyKind::FreshProbes;
  table.services_.back().upstreams_.front().startNumber_ = 2;
  table.instances_ = { InstanceId("i") };
  router_->Apply(table, scheduler_.Now());
  const auto exchange = SendOne("POST", "/a/1");
  scheduler_.Advance(std::chrono::milliseconds(500));
  CHECK(exchange->response_ && exchange->response_->status_ == 200);
}

} // namespace boragepier
