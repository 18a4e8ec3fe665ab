#include "boragepier/decision/answer_size_estimator.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

TEST_GROUP(AnswerSizeEstimator)
{
  AnswerSizeEstimator sizes_;
};

TEST(AnswerSizeEstimator, LearnsTheSizeOfLargeAnswersByClass)
{
  CHECK_EQUAL(0U, sizes_.ExpectedBytes(1));
  sizes_.AddSample(1, 540'000);
  sizes_.AddSample(1, 640'000);
  sizes_.AddSample(2, 2'000);
  CHECK_EQUAL(550'000U, sizes_.ExpectedBytes(1));
  CHECK_EQUAL(0U, sizes_.ExpectedBytes(2));
}

// Guards against a class that counts as large for good because of one answer.
TEST(AnswerSizeEstimator, ClassesWithSmallAnswersCostNothing)
{
  sizes_.AddSample(1, 100'000);
  for (int i = 0; i < 10; ++i) {
    sizes_.AddSample(1, 1'000);
  }
  CHECK_EQUAL(0U, sizes_.ExpectedBytes(1));
}

// Guards against memory that grows with the routes of all configurations.
TEST(AnswerSizeEstimator, NumberOfClassesIsBounded)
{
  for (std::uint64_t workClass = 0; workClass < 5000; ++workClass) {
    sizes_.AddSample(workClass, 100'000);
  }
  CHECK(sizes_.ExpectedBytes(0) > 0);
  CHECK_EQUAL(0U, sizes_.ExpectedBytes(4999));
}

} // namespace boragepier
