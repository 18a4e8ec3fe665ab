#include "boragepier/http/body_budget.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace boragepier::http {

namespace {

constexpr std::size_t kTotal = 16 << 20;
constexpr std::size_t kMegabyte = 1 << 20;

} // namespace

// clang-format off
TEST_GROUP(BodyBudget)
{
  std::shared_ptr<BodyBudget> budget_ = std::make_shared<BodyBudget>(kTotal);

  BodyCharge Charge(BodyUse aUse) const { return { budget_, aUse }; }
};
// clang-format on

// Guards against a process that is killed because the sum of the bodies exceeds its memory.
TEST(BodyBudget, BodiesBeyondTheLimitAreNotHeld)
{
  auto first = Charge(BodyUse::Request);
  auto second = Charge(BodyUse::Request);
  CHECK(first.TryResize(8 * kMegabyte));
  CHECK(!second.TryResize(5 * kMegabyte));
  CHECK(second.TryResize(4 * kMegabyte));
  CHECK_EQUAL(12 * kMegabyte, budget_->Held());
  first = {};
  CHECK_EQUAL(4 * kMegabyte, budget_->Held());
  CHECK_EQUAL(8 * kMegabyte, budget_->Released());
}

// Guards against small requests that are refused while large ones use up their part.
TEST(BodyBudget, SmallRequestsFitBesideLargeOnes)
{
  auto large = Charge(BodyUse::Request);
  CHECK(large.TryResize(12 * kMegabyte));
  CHECK(!Charge(BodyUse::Request).TryResize(BodyBudget::kSmallRequestBytes + 1));
  CHECK(Charge(BodyUse::Request).TryResize(BodyBudget::kSmallRequestBytes));
}

// Guards against requests that ran and whose answers find no memory.
TEST(BodyBudget, AnswersFitBesideRequests)
{
  std::vector<BodyCharge> requests;
  do {
    requests.push_back(Charge(BodyUse::Request));
  } while (requests.back().TryResize(BodyBudget::kSmallRequestBytes));
  CHECK(Charge(BodyUse::Response).TryResize(2 * kMegabyte));
}

TEST(BodyBudget, AGrowingBodyIsChargedOnce)
{
  auto charge = Charge(BodyUse::Request);
  CHECK(charge.TryResize(kMegabyte));
  CHECK(charge.TryResize(2 * kMegabyte));
  CHECK_EQUAL(2 * kMegabyte, budget_->Held());
  CHECK(!charge.TryResize(13 * kMegabyte));
  CHECK_EQUAL(2 * kMegabyte, budget_->Held());
  const BodyCharge moved = std::move(charge);
  charge = {};
  CHECK_EQUAL(2 * kMegabyte, budget_->Held());
}

TEST(BodyBudget, ABodyLargerThanTheShareNeverFits)
{
  CHECK(budget_->CanEverHold(BodyUse::Request, 12 * kMegabyte));
  CHECK(!budget_->CanEverHold(BodyUse::Request, (12 * kMegabyte) + 1));
  CHECK(budget_->CanEverHold(BodyUse::Response, kTotal));
  CHECK(!budget_->CanEverHold(BodyUse::Response, kTotal + 1));
}

TEST_GROUP(HoldTime){};

// Guards against a Retry-After that does not follow from how long bodies are held.
TEST(HoldTime, MeanFollowsHeldAndReleasedBytes)
{
  HoldTime time;
  CHECK(time.Mean() == Duration(0));
  MonotonicTime now{};
  // One body of 1 MiB, held for 2 s, from time to time.
  std::uint64_t released = 0;
  for (int i = 0; i < 300; ++i) {
    const int phase = i % 50;
    released += phase == 20 ? kMegabyte : 0;
    time.Observe(phase < 20 ? kMegabyte : 0, released, now);
    now += std::chrono::milliseconds(100);
  }
  DOUBLES_EQUAL(2000, ToMilliseconds(time.Mean()), 800);
}

} // namespace boragepier::http
