#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <thread>

#include "boragepier/http/server.h"
#include "testing/e2e/sync_client.h"
#include "testing/soak/fault_proxy.h"
#include "testing/soak/soak_plan.h"
#include "testing/soak/soak_run.h"
#include "testing/wire/loop_thread.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::testing {

TEST_GROUP(SoakPlan){};

// Guards against a failed seed that cannot be reproduced.
TEST(SoakPlan, TheSameSeedGivesTheSamePlan)
{
  const std::vector<FaultKind> kinds = { { "a", 3, 1 }, { "b", 1, 4 } };
  const auto plan = MakeSoakPlan(7, std::chrono::seconds(60), kinds);
  CHECK(plan == MakeSoakPlan(7, std::chrono::seconds(60), kinds));
  CHECK(plan != MakeSoakPlan(8, std::chrono::seconds(60), kinds));
  bool overlaps = false;
  for (std::size_t i = 1; i < plan.size(); ++i) {
    overlaps = overlaps || plan[i - 1].startOffset_ + plan[i - 1].duration_ > plan[i].startOffset_;
    CHECK(plan[i].targetIndex_ < kinds[plan[i].kindIndex_].targetCount_);
  }
  CHECK(overlaps);
}

TEST_GROUP(FaultProxy)
{
  net::EventLoop loop_;
  net::EventLoop serverLoop_;
  http::Server server_{ serverLoop_,
                        {},
                        [](const std::shared_ptr<http::Exchange>& aExchange) {
                          http::Response response;
                          response.status_ = 200;
                          aExchange->Respond(std::move(response));
                        },
                        [](RefusalReason) { return http::Response(); } };
  std::uint16_t port_ = server_.Listen("127.0.0.1", 0);
  std::unique_ptr<FaultProxy> proxy_;
  std::unique_ptr<LoopThread> thread_;
  std::unique_ptr<LoopThread> serverThread_;
  SyncClient client_;

  void setup() override
  {
    proxy_ = std::make_unique<FaultProxy>(loop_, port_);
    thread_ = std::make_unique<LoopThread>(loop_);
    serverThread_ = std::make_unique<LoopThread>(serverLoop_);
  }
  void teardown() override
  {
    thread_->Run([this] { proxy_.reset(); });
  }
  int SendRequest()
  {
    const auto result = client_.Send(proxy_->Port(), { "GET", "/", {}, "" });
    return result.outcome_ == Outcome::Answered ? result.response_.status_ : 0;
  }
  void SetFault(LinkFault aFault)
  {
    thread_->Run([&] { proxy_->SetFault(aFault); });
  }
};

// Guards against faults that have no effect or last beyond their end.
TEST(FaultProxy, FaultsTakeEffectAndEnd)
{
  CHECK_EQUAL(200, SendRequest());
  SetFault(LinkFault::Reset);
  CHECK_EQUAL(0, SendRequest());
  SetFault(LinkFault::None);
  CHECK_EQUAL(200, SendRequest());
  SetFault(LinkFault::Delay);
  const auto start = std::chrono::steady_clock::now();
  CHECK_EQUAL(200, SendRequest());
  CHECK(std::chrono::steady_clock::now() - start >= 2 * FaultProxy::kForwardingDelay);
  for (const LinkFault cut : { LinkFault::CutForward, LinkFault::CutBackward }) {
    SetFault(cut);
    std::atomic<int> status = 0;
    std::thread caller([&] { status = SendRequest(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK_EQUAL(0, status);
    SetFault(LinkFault::None);
    caller.join();
    CHECK_EQUAL(200, status);
  }
}

TEST_GROUP(Soak){};

// Guards against violations under overlapping faults; scripts/soak.sh runs the full soak test.
TEST(Soak, AShortRunHasNoViolation)
{
  std::string name = (std::filesystem::temp_directory_path() / "boragepier-soak-XXXXXX").string();
  CHECK(mkdtemp(name.data()) != nullptr);
  SoakOptions options;
  options.seed_ = 1;
  options.faultPeriod_ = std::chrono::seconds(8);
  options.instances_ = 3;
  options.directory_ = name;
  const SoakResult result = RunSoak(options, std::cout);
  for (const std::string& violation : result.violations_) {
    std::cout << violation << "\n";
  }
  CHECK_EQUAL(0, result.violations_.size());
  CHECK(result.requests_ > 500);
  std::filesystem::remove_all(name);
}

} // namespace boragepier::testing
