#ifndef BORAGEPIER_QUOTA_QUOTA_AGENT_H
#define BORAGEPIER_QUOTA_QUOTA_AGENT_H

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

#include "boragepier/base/internal_error.h"
#include "boragepier/ports/peer_transport.h"
#include "boragepier/ports/scheduler.h"
#include "boragepier/quota/quota_gate.h"
#include "boragepier/quota/quota_ledger.h"
#include "boragepier/quota/quota_owner.h"
#include "boragepier/quota/quota_ownership.h"

namespace boragepier {

/// Keeps the quotas of teams together with the other instances: asks the owners of shares for
/// credit, and grants credit of the shares that this instance owns.
///
/// Admit() and Return() are thread-safe; the other functions run in the thread of the scheduler,
/// which sends and receives all messages. Requests that come in one turn of its loop are asked for
/// together.
template<Scheduler S, PeerTransport P>
class QuotaAgent : public QuotaGate
{
public:
  /// Counters since the start.
  struct Counters
  {
    QuotaLedger::Counters asked_;
    std::uint64_t messagesSent_ = 0; ///< to other instances, questions and answers
    std::uint64_t grantsGiven_ = 0;  ///< requests for which this instance granted credit
    std::uint64_t denialsGiven_ = 0; ///< answers of this instance that denied credit
  };

  /// @param aScheduler must outlive this object, like aPeers
  /// Receives a team of which requests are refused, the owner of the share that will have credit
  /// first, and when it will.
  using RefusedCallback = std::function<void(const TeamName&, const InstanceId&, Duration)>;

  /// @param aSelf this instance
  /// @param aZone its availability zone
  /// @param aSeed seed of random choices
  QuotaAgent(S& aScheduler,
             P& aPeers,
             InstanceId aSelf,
             ZoneName aZone,
             const QuotaRules& aRules,
             std::uint64_t aSeed)
    : scheduler_(aScheduler)
    , peers_(aPeers)
    , self_(std::move(aSelf))
    , rules_(aRules)
    , ownership_(self_, std::move(aZone))
    , ledger_(self_, aSeed)
  {
  }

  QuotaVerdict Admit(const Team& aTeam,
                     MonotonicTime aNow,
                     MonotonicTime aWaitUntil,
                     QuotaCallback aCallback) override
  {
    const std::lock_guard lock(mutex_);
    QuotaVerdict verdict = ledger_.Admit(
      aTeam.id_, PlanQuota(aTeam.terms_, rules_), aNow, aWaitUntil, std::move(aCallback));
    if (verdict.kind_ == QuotaVerdict::Kind::Waits && ledger_.HasQuestions() &&
        !std::exchange(posted_, true)) {
      scheduler_.Post([this] { RunContained(ErrorScope::Task, [this] { AskOwners(); }); });
    }
    return verdict;
  }

  void Return(const QuotaCredit& aCredit, MonotonicTime aNow) override
  {
    const std::lock_guard lock(mutex_);
    ledger_.Return(aCredit, aNow);
  }

  /// Replaces the rules, for example after a reload.
  void SetRules(const QuotaRules& aRules)
  {
    const std::lock_guard lock(mutex_);
    rules_ = aRules;
  }

  /// Replaces the list of instances.
  void SetInstances(std::span<const InstanceEntry> aInstances)
  {
    const MonotonicTime now = scheduler_.Now();
    ownership_.SetInstances(aInstances, now);
    owner_.Retain([&](const QuotaShareId& aShare) { return ownership_.Owns(aShare); });
  }

  /// Replaces the teams of the configuration in force.
  /// @param aTeams may be null
  void SetTeams(std::shared_ptr<const TeamDirectory> aTeams) { teams_ = std::move(aTeams); }

  /// Processes a message of another instance; ignores those that do not concern quotas.
  void OnMessage(const PeerEndpoint& aSender, const PeerMessage& aMessage)
  {
    if (const auto* const request = std::get_if<PeerQuotaRequest>(&aMessage)) {
      Send(aSender, Answer(*request));
    } else if (const auto* const grant = std::get_if<PeerQuotaGrant>(&aMessage)) {
      Update([&](auto& aVerdicts) {
        ledger_.OnGrant(aSender.id_, *grant, scheduler_.Now(), aVerdicts);
      });
    }
  }

  /// Processes that an instance cannot be reached.
  void OnUnreachable(const InstanceId& aPeer)
  {
    Update([&](auto& aVerdicts) { ledger_.OnUnreachable(aPeer, scheduler_.Now(), aVerdicts); });
  }

  /// Called for a team of which requests are refused, at most once a minute; set before the first
  /// Admit().
  void OnTeamRefused(RefusedCallback aCallback) { onTeamRefused_ = std::move(aCallback); }

  /// Reports the teams that were refused, and drops what was not used for a while. To be called
  /// about once a second.
  void Tick()
  {
    const MonotonicTime now = scheduler_.Now();
    owner_.DropFull(now);
    std::vector<QuotaLedger::Report> reports;
    {
      const std::lock_guard lock(mutex_);
      ledger_.DropUnused(now);
      reports = ledger_.TakeReports();
    }
    for (const QuotaLedger::Report& report : reports) {
      const TeamDirectory::TeamPointer team = FindTeam(report.share_.team_);
      const PeerEndpoint* const owner = ownership_.OwnerOf(report.share_);
      if (team && onTeamRefused_) {
        onTeamRefused_(
          team->terms_.name_, owner != nullptr ? owner->id_ : InstanceId(), report.retryAfter_);
      }
    }
  }

  Counters GetCounters()
  {
    Counters counters = counters_;
    const std::lock_guard lock(mutex_);
    counters.asked_ = ledger_.GetCounters();
    return counters;
  }

private:
  /// Denial of shares that this instance doesn't own or whose team it doesn't know: the lists or
  /// the configurations of the two instances differ, usually for a short time.
  static constexpr std::uint32_t kUnknownShareDenialMs = 250;

  // Applies a change to the ledger, and sends the questions that follow from it.
  template<typename Function>
  void Update(Function aChange)
  {
    QuotaLedger::Verdicts verdicts;
    {
      const std::lock_guard lock(mutex_);
      aChange(verdicts);
    }
    Tell(verdicts);
    AskOwners();
  }

  static void Tell(const QuotaLedger::Verdicts& aVerdicts)
  {
    for (const auto& entry : aVerdicts) {
      RunContained(ErrorScope::Task, [&entry] { entry.first(entry.second); });
    }
  }

  void AskOwners()
  {
    while (true) {
      QuotaLedger::Verdicts verdicts;
      std::vector<QuotaLedger::Question> questions;
      const MonotonicTime now = scheduler_.Now();
      {
        const std::lock_guard lock(mutex_);
        posted_ = false;
        questions = ledger_.TakeQuestions(ownership_, now, verdicts);
        for (const QuotaLedger::Question& question : questions) {
          if (ownership_.IsSelf(question.owner_)) {
            ledger_.OnGrant(self_, Answer(question.request_), now, verdicts);
          }
        }
      }
      Tell(verdicts);
      bool answered = false;
      for (const QuotaLedger::Question& question : questions) {
        if (ownership_.IsSelf(question.owner_)) {
          answered = true;
        } else if (!Send(question.owner_, question.request_)) {
          answered = true;
          OnNotSent(question.owner_.id_);
        }
      }
      if (!answered) {
        break;
      }
    }
    ArmTimer();
  }

  PeerQuotaGrant Answer(const PeerQuotaRequest& aRequest)
  {
    const MonotonicTime now = scheduler_.Now();
    PeerQuotaGrant grant;
    grant.sequence_ = aRequest.sequence_;
    for (const PeerQuotaRequest::Item& item : aRequest.items_) {
      const QuotaDecision decision = Decide(item, now);
      grant.items_.push_back(
        { item.team_,
          item.share_,
          decision.granted_,
          static_cast<std::uint32_t>(std::ceil(ToMilliseconds(decision.deniedFor_))) });
      counters_.grantsGiven_ += decision.granted_;
      counters_.denialsGiven_ += decision.granted_ < item.wanted_ ? 1 : 0;
    }
    return grant;
  }

  QuotaDecision Decide(const PeerQuotaRequest::Item& aItem, MonotonicTime aNow)
  {
    const QuotaDecision unknown{ 0, std::chrono::milliseconds(kUnknownShareDenialMs) };
    const QuotaShareId share{ aItem.team_, aItem.share_ };
    const TeamDirectory::TeamPointer team = FindTeam(aItem.team_);
    if (!team || team->terms_.ratePerSecond_ <= 0 || aItem.wanted_ == 0) {
      return unknown;
    }
    const QuotaPlan plan = PlanQuota(team->terms_, rules_);
    if (aItem.share_ >= plan.shareCount_) {
      return unknown;
    }
    const auto tenure = ownership_.TenureOf(share, aNow);
    return tenure ? owner_.Take(share, plan, *tenure, aItem.wanted_, aNow) : unknown;
  }

  TeamDirectory::TeamPointer FindTeam(std::uint64_t aId) const
  {
    if (!teams_) {
      return nullptr;
    }
    const auto found = teams_->Teams().find(aId);
    return found != teams_->Teams().end() ? found->second : nullptr;
  }

  // Returns whether the message may arrive.
  bool Send(const PeerEndpoint& aPeer, const PeerMessage& aMessage)
  {
    ++counters_.messagesSent_;
    return peers_.Send(aPeer, aMessage) > 0;
  }

  void OnNotSent(const InstanceId& aOwner)
  {
    QuotaLedger::Verdicts verdicts;
    {
      const std::lock_guard lock(mutex_);
      ledger_.OnUnreachable(aOwner, scheduler_.Now(), verdicts);
    }
    Tell(verdicts);
  }

  void ArmTimer()
  {
    std::optional<MonotonicTime> due;
    {
      const std::lock_guard lock(mutex_);
      due = ledger_.NextDue();
    }
    if (!due || (timerAt_ && *timerAt_ <= *due)) {
      return;
    }
    timerAt_ = due;
    scheduler_.After(std::max(Duration(0), *due - scheduler_.Now()), [this, at = *due] {
      if (timerAt_ == at) {
        timerAt_.reset();
      }
      RunContained(ErrorScope::Task, [this] {
        Update([this](auto& aVerdicts) { ledger_.Advance(scheduler_.Now(), aVerdicts); });
      });
    });
  }

  S& scheduler_;
  P& peers_;
  const InstanceId self_;
  std::mutex mutex_;    ///< guards the members up to ledger_; held for short times only
  bool posted_ = false; ///< AskOwners() is about to run
  QuotaRules rules_;    ///< written in the thread of the scheduler only
  QuotaOwnership ownership_;
  QuotaLedger ledger_;
  QuotaOwner owner_;
  std::shared_ptr<const TeamDirectory> teams_;
  std::optional<MonotonicTime> timerAt_; ///< when the next timer runs
  RefusedCallback onTeamRefused_;
  Counters counters_;
};

} // namespace boragepier

#endif
