#ifndef BORAGEPIER_DECISION_CHOICE_POLICY_H
#define BORAGEPIER_DECISION_CHOICE_POLICY_H

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>

#include "boragepier/base/random.h"
#include "boragepier/config/service_config.h"

namespace boragepier {

/// An upstream that a policy may pick.
struct Candidate
{
  std::uint32_t index_ = 0;          ///< of the upstream in its balancer
  std::uint32_t ownOutstanding_ = 0; ///< requests of this instance in flight there
  /// Expected response time in ms, with penalties; set only for policies with kUsesReports.
  double cost_ = 0;
};

/// A load balancing policy: picks one of several candidates. kUsesReports states that Pick() reads
/// Candidate::cost_, which is computed from load reports; kPrefersSubset that the cost favours the
/// instance's preferred subset of the upstreams.
template<typename T>
concept ChoicePolicy = requires(T aPolicy, std::span<const Candidate> aCandidates, Random& aRandom)
{
  {
    aPolicy.Pick(aCandidates, aRandom)
    } -> std::same_as<std::size_t>;
  {
    T::kUsesReports
    } -> std::convertible_to<bool>;
  {
    T::kPrefersSubset
    } -> std::convertible_to<bool>;
};

/// Picks each candidate with equal probability.
struct RandomChoice
{
  static constexpr bool kUsesReports = false;
  static constexpr bool kPrefersSubset = false;
  /// @param aCandidates not empty
  /// @return position of the pick in aCandidates
  std::size_t Pick(std::span<const Candidate> aCandidates, Random& aRandom) const;
};

/// Picks the candidates in turn, in the order of their indices, from a random start.
struct RoundRobinChoice
{
  static constexpr bool kUsesReports = false;
  static constexpr bool kPrefersSubset = false;
  std::size_t Pick(std::span<const Candidate> aCandidates, Random& aRandom);

private:
  std::uint32_t last_ = UINT32_MAX; ///< index of the upstream picked last
};

/// Picks the candidate with the fewest own outstanding requests; ties are broken at random.
struct LeastOutstandingChoice
{
  static constexpr bool kUsesReports = false;
  static constexpr bool kPrefersSubset = false;
  std::size_t Pick(std::span<const Candidate> aCandidates, Random& aRandom) const;
};

/// Power of two choices: picks the one of two random candidates with fewer own outstanding
/// requests.
struct PowerOfTwoChoice
{
  static constexpr bool kUsesReports = false;
  static constexpr bool kPrefersSubset = false;
  std::size_t Pick(std::span<const Candidate> aCandidates, Random& aRandom) const;
};

/// Picks the lowest cost, which is based on load reports; ties are broken at random.
struct ReportedChoice
{
  static constexpr bool kUsesReports = true;
  static constexpr bool kPrefersSubset = false;
  std::size_t Pick(std::span<const Candidate> aCandidates, Random& aRandom) const;
};

/// Picks the lowest cost, which is based on load reports and lower in the preferred subset.
struct ReportedSubsetChoice : ReportedChoice
{
  static constexpr bool kPrefersSubset = true;
};

static_assert(ChoicePolicy<RandomChoice> && ChoicePolicy<RoundRobinChoice>);
static_assert(ChoicePolicy<LeastOutstandingChoice> && ChoicePolicy<PowerOfTwoChoice>);
static_assert(ChoicePolicy<ReportedChoice> && ChoicePolicy<ReportedSubsetChoice>);

/// Any of the policies that ServiceBalancer implements.
using AnyChoicePolicy = std::variant<RandomChoice,
                                     RoundRobinChoice,
                                     LeastOutstandingChoice,
                                     PowerOfTwoChoice,
                                     ReportedChoice,
                                     ReportedSubsetChoice>;

/// @return a new policy of this kind. PolicyKind::FreshProbes, which FreshProbeBalancer implements,
/// gives a ReportedSubsetChoice.
AnyChoicePolicy
MakeChoicePolicy(PolicyKind aKind);

} // namespace boragepier

#endif
