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

/// An upstream that may be chosen.
struct Candidate
{
  std::uint32_t index_ = 0;
  std::uint32_t own_ = 0; ///< outstanding requests of this instance
  double cost_ = 0;       ///< expected time to the answer in ms; set if the policy uses reports
};

/// A rule that picks one of several candidates. kUsesReports states that Pick() reads cost_,
/// kUsesHomes that the cost prefers the home subset of the instance.
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
    T::kUsesHomes
    } -> std::convertible_to<bool>;
};

/// Any candidate with equal probability.
struct RandomChoice
{
  static constexpr bool kUsesReports = false;
  static constexpr bool kUsesHomes = false;
  /// @param aCandidates not empty
  /// @return position of the pick in aCandidates
  std::size_t Pick(std::span<const Candidate> aCandidates, Random& aRandom) const;
};

/// One after the other.
struct RoundRobinChoice
{
  static constexpr bool kUsesReports = false;
  static constexpr bool kUsesHomes = false;
  std::size_t Pick(std::span<const Candidate> aCandidates, Random& aRandom);

private:
  std::uint32_t last_ = UINT32_MAX; ///< index of the upstream picked last
};

/// The fewest own outstanding requests, ties at random.
struct LeastOutstandingChoice
{
  static constexpr bool kUsesReports = false;
  static constexpr bool kUsesHomes = false;
  std::size_t Pick(std::span<const Candidate> aCandidates, Random& aRandom) const;
};

/// The better of two random candidates by own outstanding requests.
struct PowerOfTwoChoice
{
  static constexpr bool kUsesReports = false;
  static constexpr bool kUsesHomes = false;
  std::size_t Pick(std::span<const Candidate> aCandidates, Random& aRandom) const;
};

/// The lowest expected time, ties at random.
struct ReportedChoice
{
  static constexpr bool kUsesReports = true;
  static constexpr bool kUsesHomes = false;
  std::size_t Pick(std::span<const Candidate> aCandidates, Random& aRandom) const;
};

/// The lowest expected time, with the home subset preferred.
struct ReportedSubsetChoice : ReportedChoice
{
  static constexpr bool kUsesHomes = true;
};

static_assert(ChoicePolicy<RandomChoice> && ChoicePolicy<RoundRobinChoice>);
static_assert(ChoicePolicy<LeastOutstandingChoice> && ChoicePolicy<PowerOfTwoChoice>);
static_assert(ChoicePolicy<ReportedChoice> && ChoicePolicy<ReportedSubsetChoice>);

/// One of the policies that a service file can name.
using AnyChoicePolicy = std::variant<RandomChoice,
                                     RoundRobinChoice,
                                     LeastOutstandingChoice,
                                     PowerOfTwoChoice,
                                     ReportedChoice,
                                     ReportedSubsetChoice>;

/// @return the policy of this kind
AnyChoicePolicy
MakeChoicePolicy(PolicyKind aKind);

} // namespace boragepier

#endif
