#include "testing/bench/work_times.h"

#include <cmath>

namespace boragepier::bench {

namespace {

// Bounded Pareto distribution: exponent and ratio of the largest to the smallest value.
constexpr double kExponent = 1.5;
constexpr double kRange = 300;

} // namespace

double
UniformOpen(Random& aRandom)
{
  return static_cast<double>((aRandom() >> 11) + 1) * 0x1.0p-53;
}

double
Exponential(Random& aRandom, double aMean)
{
  return -aMean * std::log(UniformOpen(aRandom));
}

double
DrawWork(Random& aRandom, WorkKind aKind, double aMeanMs)
{
  if (aKind == WorkKind::Exponential) {
    return Exponential(aRandom, aMeanMs);
  }
  const double cut = 1 - std::pow(kRange, -kExponent);
  const double meanOfUnit =
    kExponent / (kExponent - 1) * (1 - std::pow(kRange, 1 - kExponent)) / cut;
  const double value = std::pow(1 - UniformOpen(aRandom) * cut, -1 / kExponent);
  return value / meanOfUnit * aMeanMs;
}

} // namespace boragepier::bench
