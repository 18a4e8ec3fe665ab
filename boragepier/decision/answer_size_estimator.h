#ifndef BORAGEPIER_DECISION_ANSWER_SIZE_ESTIMATOR_H
#define BORAGEPIER_DECISION_ANSWER_SIZE_ESTIMATOR_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace boragepier {

/// Mean size of the answers of each work class whose answers are large, such as downloads. What
/// such an answer costs a link and the border of a zone is weighed when a request is sent, hedged
/// or repeated. Classes with small answers cost nothing.
class AnswerSizeEstimator
{
public:
  /// Answers below this size are small: they take a few milliseconds on a slow link.
  static constexpr std::size_t kLargeBytes = 64 << 10;

  /// Adds the size of one answer as a sample.
  void AddSample(std::uint64_t aClass, std::size_t aBytes)
  {
    const auto found = meanByClass_.find(aClass);
    if (found != meanByClass_.end()) {
      found->second += (static_cast<double>(aBytes) - found->second) * kSampleWeight;
    } else if (aBytes >= kLargeBytes && meanByClass_.size() < kMaxClasses) {
      meanByClass_.emplace(aClass, static_cast<double>(aBytes));
    }
  }

  /// @return expected size of the answer to a request of the class; 0 if it is small or unknown
  std::size_t ExpectedBytes(std::uint64_t aClass) const
  {
    if (meanByClass_.empty()) {
      return 0;
    }
    const auto found = meanByClass_.find(aClass);
    const bool large = found != meanByClass_.end() && found->second >= kLargeBytes;
    return large ? static_cast<std::size_t>(found->second) : 0;
  }

private:
  static constexpr double kSampleWeight = 0.1;
  static constexpr std::size_t kMaxClasses = 1024; ///< bounds the memory

  std::unordered_map<std::uint64_t, double> meanByClass_;
};

} // namespace boragepier

#endif
