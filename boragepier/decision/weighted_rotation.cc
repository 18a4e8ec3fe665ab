#include "boragepier/decision/weighted_rotation.h"

#include <algorithm>

namespace boragepier {

namespace {

// Fractional part of the golden ratio, in units of 2^-64. No other step spreads runs of any length
// as evenly.
constexpr std::uint64_t kGoldenRatioStep = 0x9E3779B97F4A7C15;

// Returns the point as a fraction in [0, 1). Uses the bits that a double holds exactly, so that the
// result is not rounded up to 1.
double
ToFraction(std::uint64_t aPosition)
{
  constexpr int kDiscardedBits = 11;
  constexpr double kUnit = 1.0 / (std::uint64_t{ 1 } << (64 - kDiscardedBits));
  return static_cast<double>(aPosition >> kDiscardedBits) * kUnit;
}

} // namespace

std::optional<std::size_t>
WeightedRotation::Next(std::span<const double> aWeights)
{
  double totalWeight = 0;
  for (const double weight : aWeights) {
    totalWeight += std::max(0.0, weight);
  }
  if (totalWeight <= 0) {
    return std::nullopt;
  }
  const auto position = position_.fetch_add(kGoldenRatioStep, std::memory_order_relaxed);
  double point = ToFraction(position) * totalWeight;
  std::optional<std::size_t> selected;
  for (std::size_t i = 0; i < aWeights.size(); ++i) {
    if (aWeights[i] <= 0) {
      continue;
    }
    selected = i;
    if (point < aWeights[i]) {
      break;
    }
    point -= aWeights[i];
  }
  return selected;
}

} // namespace boragepier
