#include "boragepier/base/outcome.h"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

namespace boragepier {

TEST_GROUP(Outcome){};

// A reason added to the enumeration without a name and an HTTP status of its own must fail here.
TEST(Outcome, EveryRefusalReasonHasADistinctNameAndAnErrorStatus)
{
  std::set<std::string_view> names;
  for (int i = 0; i < kRefusalReasonCount; ++i) {
    const auto reason = static_cast<RefusalReason>(i);
    CHECK(!ToString(reason).empty());
    CHECK(names.insert(ToString(reason)).second);
    CHECK(HttpStatusOf(reason) >= 400 && HttpStatusOf(reason) < 600);
  }
  STRCMP_EQUAL("shutting-down", std::string(ToString(RefusalReason::ShuttingDown)).c_str());
}

TEST(Outcome, EveryRetryReasonHasADistinctName)
{
  std::set<std::string_view> names;
  for (int i = 0; i < kRetryReasonCount; ++i) {
    CHECK(names.insert(ToString(static_cast<RetryReason>(i))).second);
  }
  STRCMP_EQUAL("hedge", std::string(ToString(RetryReason::Hedge)).c_str());
}

} // namespace boragepier
