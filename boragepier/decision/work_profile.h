#ifndef BORAGEPIER_DECISION_WORK_PROFILE_H
#define BORAGEPIER_DECISION_WORK_PROFILE_H

#include <cstdint>
#include <unordered_map>

namespace boragepier {

/// Learned duration of the work of each class of requests at the usual pace.
class WorkProfile
{
public:
  /// Takes in the work of one answered request.
  void Add(std::uint64_t aClass, double aWorkMs);
  /// @param aFallbackMs returned while the class is unknown
  /// @return mean work of a class in milliseconds
  double MeanMs(std::uint64_t aClass, double aFallbackMs) const;

private:
  struct Mean
  {
    double workMs_ = 0;
    double samples_ = 0;
  };
  static constexpr double kMaxSamples = 50; ///< a sample weighs at least 1 / kMaxSamples
  static constexpr std::size_t kMaxClasses = 4096;

  std::unordered_map<std::uint64_t, Mean> classes_;
};

} // namespace boragepier

#endif
