#include "boragepier/quota/quota_ledger.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace boragepier {

namespace {

// Time over which the demand of a team is averaged.
constexpr double kDemandSeconds = 2;
// State of teams without requests is kept for this time.
constexpr Duration kUnusedTime = std::chrono::seconds(10);
// Largest number of requests for which credit is asked at once.
constexpr double kMaxWanted = 1000;
// An owner that grants nothing is asked again after this time at the earliest.
constexpr Duration kMinDenial = std::chrono::milliseconds(5);
// Retry-After is longer by up to this part, so that the callers do not return together.
constexpr double kRetrySpread = 0.5;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);

double
InSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

QuotaLedger::QuotaLedger(const InstanceId& aSelf, std::uint64_t aSeed)
  : random_(aSeed)
  // Answers to questions of an earlier start of the instance must not match.
  , nextSequence_((random_() >> 8U) + 1)
  , order_(static_cast<std::uint32_t>(XXH3_64bits(aSelf.View().data(), aSelf.View().size()) %
                                      QuotaPlan::kMaxShares))
{
}

bool
QuotaLedger::TakeCredit(TeamState& aState, MonotonicTime aNow, MonotonicTime& aEndsAt)
{
  std::erase_if(aState.credits_, [aNow](const Credit& aCredit) { return aCredit.endsAt_ <= aNow; });
  const auto first = std::ranges::min_element(aState.credits_, {}, &Credit::endsAt_);
  if (first == aState.credits_.end()) {
    return false;
  }
  aEndsAt = first->endsAt_;
  if (--first->count_ == 0) {
    aState.credits_.erase(first);
  }
  return true;
}

void
QuotaLedger::ObserveDemand(TeamState& aState, MonotonicTime aNow)
{
  const double elapsed = std::max(0.0, InSeconds(aNow - aState.demandAt_));
  aState.demand_ = aState.demand_ * std::exp(-elapsed / kDemandSeconds) + 1 / kDemandSeconds;
  aState.demandAt_ = aNow;
}

std::uint32_t
QuotaLedger::Wanted(const TeamState& aState, MonotonicTime aNow)
{
  const double elapsed = std::max(0.0, InSeconds(aNow - aState.demandAt_));
  const double demand = aState.demand_ * std::exp(-elapsed / kDemandSeconds);
  const double expected = std::floor(demand * InSeconds(aState.creditLifetime_));
  const auto waiting = static_cast<double>(aState.waiters_.size());
  return static_cast<std::uint32_t>(std::clamp(std::max(expected, waiting), 1.0, kMaxWanted));
}

bool
QuotaLedger::HasShareToAsk(const TeamState& aState, MonotonicTime aNow)
{
  const auto end = aState.deniedUntil_.begin() + aState.shareCount_;
  return std::any_of(
    aState.deniedUntil_.begin(), end, [aNow](MonotonicTime aTime) { return aTime <= aNow; });
}

std::optional<std::uint32_t>
QuotaLedger::NextShare(const TeamState& aState,
                       std::optional<std::uint32_t> aNearShare,
                       MonotonicTime aNow) const
{
  const auto isAsked = [&](std::uint32_t aShare) {
    return aShare < aState.shareCount_ && aState.deniedUntil_[aShare] <= aNow;
  };
  if (aNow < aState.grantedAt_ + kPreferenceTime && isAsked(aState.grantedShare_)) {
    return aState.grantedShare_;
  }
  if (aNearShare && isAsked(*aNearShare)) {
    return aNearShare;
  }
  for (std::uint32_t i = 0; i < QuotaPlan::kMaxShares; ++i) {
    if (const std::uint32_t share = i ^ order_; isAsked(share)) {
      return share;
    }
  }
  return std::nullopt;
}

Duration
QuotaLedger::OnRefused(std::uint64_t aTeam, TeamState& aState, MonotonicTime aNow)
{
  ++counters_.refusals_;
  const auto begin = aState.deniedUntil_.begin();
  const auto first = std::min_element(begin, begin + aState.shareCount_);
  const Duration wait = std::max(kMinRetryAfter, *first - aNow);
  if (aNow >= aState.reportAt_) {
    aState.reportAt_ = aNow + kReportInterval;
    reports_.push_back({ { aTeam, static_cast<std::uint32_t>(first - begin) }, wait });
  }
  const double spread = std::ldexp(static_cast<double>(random_() >> 11U), -53);
  return FromMilliseconds(ToMilliseconds(wait) * (1 + kRetrySpread * spread));
}

QuotaVerdict
QuotaLedger::Admit(std::uint64_t aTeam,
                   const QuotaPlan& aPlan,
                   MonotonicTime aNow,
                   MonotonicTime aWaitUntil,
                   QuotaCallback aCallback)
{
  const auto [entry, isNew] = teams_.try_emplace(aTeam);
  TeamState& state = entry->second;
  if (isNew) {
    state.demandAt_ = aNow;
  }
  state.shareCount_ = aPlan.shareCount_;
  state.creditLifetime_ = aPlan.creditLifetime_;
  ObserveDemand(state, aNow);
  QuotaVerdict verdict;
  if (state.waiters_.empty() && TakeCredit(state, aNow, verdict.credit_.endsAt_)) {
    verdict.kind_ = QuotaVerdict::Kind::Admitted;
    verdict.credit_.team_ = aTeam;
    return verdict;
  }
  if (state.askedBy_ == 0 && !state.due_ && !HasShareToAsk(state, aNow)) {
    verdict.retryAfter_ = OnRefused(aTeam, state, aNow);
    return verdict;
  }
  verdict.kind_ = QuotaVerdict::Kind::Waits;
  state.waiters_.push_back({ aWaitUntil, std::move(aCallback) });
  Ask(aTeam, state);
  return verdict;
}

void
QuotaLedger::Return(const QuotaCredit& aCredit, MonotonicTime aNow)
{
  const auto found = teams_.find(aCredit.team_);
  if (found == teams_.end() || aCredit.endsAt_ <= aNow) {
    return;
  }
  ++counters_.returned_;
  found->second.credits_.push_back({ aCredit.endsAt_, 1 });
}

void
QuotaLedger::Ask(std::uint64_t aTeam, TeamState& aState)
{
  if (!aState.due_ && aState.askedBy_ == 0) {
    aState.due_ = true;
    due_.push_back(aTeam);
  }
}

std::vector<QuotaLedger::Question>
QuotaLedger::TakeQuestions(const QuotaOwnership& aOwnership,
                           MonotonicTime aNow,
                           Verdicts& aVerdicts)
{
  heldUntil_.reset();
  std::erase_if(askedAt_,
                [aNow](const auto& aEntry) { return aEntry.second + kQuestionInterval <= aNow; });
  std::map<InstanceId, Question> questions;
  for (const std::uint64_t team : std::exchange(due_, {})) {
    const auto entry = teams_.find(team);
    if (entry == teams_.end()) {
      continue;
    }
    TeamState& state = entry->second;
    state.due_ = false;
    Serve(team, state, aNow, aVerdicts); // credit may have been returned
    if (!state.due_) {
      continue;
    }
    const QuotaOwnership::Owners owners = aOwnership.OwnersOf(team);
    const auto share = ShareToAsk(state, owners, aNow);
    if (!share) {
      state.due_ = false;
      due_.pop_back();
      Refuse(team, state, aNow, aVerdicts);
      continue;
    }
    const PeerEndpoint& owner = *owners.endpoints_.at(*share);
    const auto recent = askedAt_.find(owner.id_);
    if (recent != askedAt_.end() && !aOwnership.IsSelf(owner)) {
      const MonotonicTime until = recent->second + kQuestionInterval;
      heldUntil_ = heldUntil_ ? std::min(*heldUntil_, until) : until;
      continue; // remains in due_
    }
    Question& question = questions[owner.id_];
    if (question.request_.items_.size() == kMaxPeerItems) {
      heldUntil_ = heldUntil_.value_or(aNow + kQuestionInterval);
      continue;
    }
    if (question.request_.items_.empty()) {
      question.owner_ = owner;
      question.request_.sequence_ = nextSequence_++;
    }
    question.request_.items_.push_back({ team, *share, Wanted(state, aNow) });
    state.askedBy_ = question.request_.sequence_;
    state.due_ = false;
    due_.pop_back();
  }

  std::vector<Question> result;
  for (auto& [id, question] : questions) {
    OpenQuestion& open = questions_[question.request_.sequence_];
    open.owner_ = id;
    open.askedAt_ = aNow;
    for (const PeerQuotaRequest::Item& item : question.request_.items_) {
      open.endsAt_ = std::max(open.endsAt_, aNow + teams_[item.team_].creditLifetime_);
    }
    open.items_ = question.request_.items_;
    askedAt_[id] = aNow;
    ++counters_.questions_;
    result.push_back(std::move(question));
  }
  return result;
}

std::optional<std::uint32_t>
QuotaLedger::ShareToAsk(TeamState& aState,
                        const QuotaOwnership::Owners& aOwners,
                        MonotonicTime aNow) const
{
  while (const auto share = NextShare(aState, aOwners.nearShare_, aNow)) {
    const PeerEndpoint* const owner = aOwners.endpoints_.at(*share);
    if (owner == nullptr) {
      aState.deniedUntil_[*share] = aNow + kSilentPause;
      continue;
    }
    const auto silent = silentUntil_.find(owner->id_);
    if (silent == silentUntil_.end() || silent->second <= aNow) {
      return share;
    }
    aState.deniedUntil_[*share] = silent->second;
  }
  return std::nullopt;
}

void
QuotaLedger::OnGrant(const InstanceId& aOwner,
                     const PeerQuotaGrant& aGrant,
                     MonotonicTime aNow,
                     Verdicts& aVerdicts)
{
  const auto found = questions_.find(aGrant.sequence_);
  if (found == questions_.end() || found->second.owner_ != aOwner) {
    return;
  }
  // Taken out, so that a repeated answer finds nothing.
  OpenQuestion question = std::move(found->second);
  questions_.erase(found);
  silentUntil_.erase(aOwner);
  for (const PeerQuotaGrant::Item& item : aGrant.items_) {
    const auto asked =
      std::ranges::find_if(question.items_, [&item](const PeerQuotaRequest::Item& aAsked) {
        return aAsked.team_ == item.team_ && aAsked.share_ == item.share_;
      });
    const auto entry = teams_.find(item.team_);
    if (asked == question.items_.end() || entry == teams_.end()) {
      continue;
    }
    const std::uint32_t granted = std::min(item.granted_, asked->wanted_);
    question.items_.erase(asked);
    TeamState& state = entry->second;
    if (state.askedBy_ == aGrant.sequence_) {
      state.askedBy_ = 0;
    }
    const MonotonicTime endsAt = question.askedAt_ + state.creditLifetime_;
    if (granted > 0 && endsAt > aNow) {
      state.credits_.push_back({ endsAt, granted });
      counters_.granted_ += granted;
      state.grantedShare_ = item.share_;
      state.grantedAt_ = aNow;
    }
    const Duration deniedFor = std::chrono::milliseconds(
      std::min<std::uint32_t>(item.deniedForMs_, std::numeric_limits<std::int32_t>::max()));
    state.deniedUntil_[item.share_] = aNow + deniedFor;
    if (granted == 0 || deniedFor > Duration(0)) {
      ++counters_.denials_;
      state.deniedUntil_[item.share_] = aNow + std::max(deniedFor, kMinDenial);
    }
    Serve(item.team_, state, aNow, aVerdicts);
  }
  // Shares that the answer leaves out.
  if (!question.items_.empty()) {
    OnSilent(aGrant.sequence_, question, aNow, aVerdicts);
  }
}

void
QuotaLedger::OnSilent(std::uint64_t aSequence,
                      OpenQuestion& aQuestion,
                      MonotonicTime aNow,
                      Verdicts& aVerdicts)
{
  aQuestion.silent_ = true;
  for (const PeerQuotaRequest::Item& share : aQuestion.items_) {
    const auto entry = teams_.find(share.team_);
    if (entry == teams_.end() || entry->second.askedBy_ != aSequence) {
      continue;
    }
    TeamState& state = entry->second;
    state.askedBy_ = 0;
    state.deniedUntil_[share.share_] = aNow + kSilentPause;
    Serve(share.team_, state, aNow, aVerdicts);
  }
}

void
QuotaLedger::OnUnreachable(const InstanceId& aOwner, MonotonicTime aNow, Verdicts& aVerdicts)
{
  bool asked = false;
  for (auto& [sequence, question] : questions_) {
    if (question.owner_ == aOwner && !question.silent_) {
      asked = true;
      ++counters_.silences_;
      OnSilent(sequence, question, aNow, aVerdicts);
    }
  }
  if (asked) {
    silentUntil_[aOwner] = aNow + kSilentPause;
  }
}

void
QuotaLedger::Advance(MonotonicTime aNow, Verdicts& aVerdicts)
{
  for (auto question = questions_.begin(); question != questions_.end();) {
    OpenQuestion& open = question->second;
    const MonotonicTime answerDue = std::min(open.askedAt_ + kAnswerTimeout, open.endsAt_);
    if (!open.silent_ && answerDue <= aNow) {
      ++counters_.silences_;
      silentUntil_[open.owner_] = aNow + kSilentPause;
      OnSilent(question->first, open, aNow, aVerdicts);
    }
    question = open.endsAt_ <= aNow ? questions_.erase(question) : std::next(question);
  }
  std::erase_if(silentUntil_, [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
}

std::optional<MonotonicTime>
QuotaLedger::NextDue() const
{
  std::optional<MonotonicTime> due = heldUntil_;
  const auto consider = [&due](MonotonicTime aTime) { due = due ? std::min(*due, aTime) : aTime; };
  for (const auto& [sequence, question] : questions_) {
    consider(question.silent_ ? question.endsAt_
                              : std::min(question.askedAt_ + kAnswerTimeout, question.endsAt_));
  }
  return due;
}

void
QuotaLedger::Serve(std::uint64_t aTeam, TeamState& aState, MonotonicTime aNow, Verdicts& aVerdicts)
{
  std::size_t served = 0;
  for (Waiter& waiter : aState.waiters_) {
    QuotaVerdict verdict;
    if (waiter.until_ <= aNow) {
      verdict.retryAfter_ = OnRefused(aTeam, aState, aNow);
    } else if (TakeCredit(aState, aNow, verdict.credit_.endsAt_)) {
      verdict.kind_ = QuotaVerdict::Kind::Admitted;
      verdict.credit_.team_ = aTeam;
    } else {
      break;
    }
    aVerdicts.emplace_back(std::move(waiter.callback_), verdict);
    ++served;
  }
  aState.waiters_.erase(aState.waiters_.begin(),
                        aState.waiters_.begin() + static_cast<std::ptrdiff_t>(served));
  if (aState.waiters_.empty() || aState.askedBy_ != 0) {
    return;
  }
  if (HasShareToAsk(aState, aNow)) {
    Ask(aTeam, aState);
  } else {
    Refuse(aTeam, aState, aNow, aVerdicts);
  }
}

void
QuotaLedger::Refuse(std::uint64_t aTeam, TeamState& aState, MonotonicTime aNow, Verdicts& aVerdicts)
{
  for (Waiter& waiter : aState.waiters_) {
    QuotaVerdict verdict;
    verdict.retryAfter_ = OnRefused(aTeam, aState, aNow);
    aVerdicts.emplace_back(std::move(waiter.callback_), verdict);
  }
  aState.waiters_.clear();
}

void
QuotaLedger::DropUnused(MonotonicTime aNow)
{
  std::erase_if(teams_, [aNow](const auto& aEntry) {
    const TeamState& state = aEntry.second;
    return state.waiters_.empty() && state.askedBy_ == 0 && !state.due_ &&
           state.demandAt_ + kUnusedTime <= aNow;
  });
}

} // namespace boragepier
