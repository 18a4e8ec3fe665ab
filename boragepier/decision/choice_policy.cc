#include "boragepier/decision/choice_policy.h"

#include <algorithm>

namespace boragepier {

namespace {

// Returns the position of the candidate with the smallest key. Ties are broken at random, each with
// equal probability.
template<typename Key>
std::size_t
PickLeast(std::span<const Candidate> aCandidates, Random& aRandom, Key aKey)
{
  std::size_t best = 0;
  std::uint32_t ties = 1;
  for (std::size_t i = 1; i < aCandidates.size(); ++i) {
    const auto key = aKey(aCandidates[i]);
    const auto bestKey = aKey(aCandidates[best]);
    if (key < bestKey) {
      best = i;
      ties = 1;
    } else if (key == bestKey && aRandom(++ties) == 0) {
      best = i;
    }
  }
  return best;
}

} // namespace

std::size_t
RandomChoice::Pick(std::span<const Candidate> aCandidates, Random& aRandom) const
{
  return aRandom(aCandidates.size());
}

std::size_t
RoundRobinChoice::Pick(std::span<const Candidate> aCandidates, Random& aRandom)
{
  if (last_ == UINT32_MAX) {
    last_ = aCandidates[aRandom(aCandidates.size())].index_;
  }
  // Picks the next higher index, or the lowest one after the highest. Unsigned subtraction wraps
  // around, so that indices up to last_ come after all higher ones.
  const std::uint32_t last = last_;
  const auto next = std::min_element(
    aCandidates.begin(), aCandidates.end(), [&](const Candidate& aLeft, const Candidate& aRight) {
      return aLeft.index_ - last - 1 < aRight.index_ - last - 1;
    });
  last_ = next->index_;
  return static_cast<std::size_t>(next - aCandidates.begin());
}

std::size_t
LeastOutstandingChoice::Pick(std::span<const Candidate> aCandidates, Random& aRandom) const
{
  return PickLeast(
    aCandidates, aRandom, [](const Candidate& aCandidate) { return aCandidate.ownOutstanding_; });
}

std::size_t
PowerOfTwoChoice::Pick(std::span<const Candidate> aCandidates, Random& aRandom) const
{
  const std::size_t count = aCandidates.size();
  if (count == 1) {
    return 0;
  }
  const std::size_t first = aRandom(count);
  std::size_t second = aRandom(count - 1);
  second += second >= first ? 1 : 0;
  return aCandidates[second].ownOutstanding_ < aCandidates[first].ownOutstanding_ ? second : first;
}

std::size_t
ReportedChoice::Pick(std::span<const Candidate> aCandidates, Random& aRandom) const
{
  return PickLeast(
    aCandidates, aRandom, [](const Candidate& aCandidate) { return aCandidate.cost_; });
}

AnyChoicePolicy
MakeChoicePolicy(PolicyKind aKind)
{
  switch (aKind) {
    case PolicyKind::Random:
      return RandomChoice();
    case PolicyKind::RoundRobin:
      return RoundRobinChoice();
    case PolicyKind::LeastOutstanding:
      return LeastOutstandingChoice();
    case PolicyKind::PowerOfTwo:
      return PowerOfTwoChoice();
    case PolicyKind::Reported:
      return ReportedChoice();
    case PolicyKind::ReportedSubset:
    case PolicyKind::FreshProbes: // served by FreshProbeBalancer
      break;
  }
  return ReportedSubsetChoice();
}

} // namespace boragepier
