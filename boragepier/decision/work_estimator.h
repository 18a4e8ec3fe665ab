#ifndef BORAGEPIER_DECISION_WORK_ESTIMATOR_H
#define BORAGEPIER_DECISION_WORK_ESTIMATOR_H

#include <cstdint>
#include <unordered_map>

namespace boragepier {

/// Mean work of the requests of each work class. Work is the service time in milliseconds at an
/// idle upstream of normal speed (see SlownessModel).
class WorkEstimator
{
public:
  /// Adds the work of one answered request as a sample.
  void AddSample(std::uint64_t aClass, double aWorkMs);
  /// @param aFallbackMs result for a class without samples
  /// @return mean work of the class in milliseconds
  double MeanWorkMs(std::uint64_t aClass, double aFallbackMs) const;

private:
  struct Mean
  {
    double workMs_ = 0;
    double samples_ = 0;
  };
  /// A new sample has at least the weight 1 / kMaxSamples in the moving average.
  static constexpr double kMaxSamples = 50;
  static constexpr std::size_t kMaxClasses = 4096; ///< bounds the memory; one more clears all

  std::unordered_map<std::uint64_t, Mean> meansByClass_;
};

} // namespace boragepier

#endif
