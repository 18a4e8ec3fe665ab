#include "testing/bench/service_times.h"

#include <cmath>

namespace boragepier::bench {

namespace {

// Shape of the bounded Pareto distribution: its exponent and the ratio of the largest to the
// smallest value.
constexpr double kParetoExponent = 1.5;
constexpr double kMaxToMinRatio = 300;

} // namespace

double
UniformPositive(Random& aRandom)
{
  return static_cast<double>((aRandom() >> 11) + 1) * 0x1.0p-53;
}

double
DrawExponential(Random& aRandom, double aMean)
{
  return -aMean * std::log(UniformPositive(aRandom));
}

double
DrawServiceTimeMs(Random& aRandom, ServiceTimeDistribution aKind, double aMeanMs)
{
  if (aKind == ServiceTimeDistribution::Exponential) {
    return DrawExponential(aRandom, aMeanMs);
  }
  const double coveredProbability = 1 - std::pow(kMaxToMinRatio, -kParetoExponent);
  const double meanAtUnitMinimum = kParetoExponent / (kParetoExponent - 1) *
                                   (1 - std::pow(kMaxToMinRatio, 1 - kParetoExponent)) /
                                   coveredProbability;
  const double value =
    std::pow(1 - UniformPositive(aRandom) * coveredProbability, -1 / kParetoExponent);
  return value / meanAtUnitMinimum * aMeanMs;
}

} // namespace boragepier::bench
