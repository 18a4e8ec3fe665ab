#ifndef BORAGEPIER_QUOTA_QUOTA_LEDGER_H
#define BORAGEPIER_QUOTA_QUOTA_LEDGER_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/base/random.h"
#include "boragepier/base/time.h"
#include "boragepier/ports/peer_message.h"
#include "boragepier/quota/quota_gate.h"
#include "boragepier/quota/quota_ownership.h"
#include "boragepier/quota/quota_plan.h"

namespace boragepier {

/// Credit that one instance holds, the requests that wait for credit, and what it asks of the
/// owners of shares. Reads no clock and does no I/O.
///
/// Credit is asked for when a request needs it, for as many requests as are expected before it
/// ends. The end is counted from the time of the question, so a delayed grant does not extend it.
/// The shares of a team are asked one after the other, first the one that granted last, then that
/// of the own availability zone, each not before the time that its owner stated; a request is
/// refused when all are used up, without a message if that is known.
class QuotaLedger
{
public:
  /// Time without an answer after which an owner counts as silent and the next share is asked.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(100);
  /// Time in which a silent owner is not asked.
  static constexpr Duration kSilentPause = std::chrono::seconds(1);

  /// Shortest time between two messages to the same owner. Peers disconnect an instance that sends
  /// more than 100 a second.
  static constexpr Duration kQuestionInterval = std::chrono::milliseconds(15);
  /// Time for which a share is preferred after it has granted credit.
  static constexpr Duration kPreferenceTime = std::chrono::seconds(1);
  /// Time after which the refusals of a team are reported again.
  static constexpr Duration kReportInterval = std::chrono::seconds(60);

  /// Verdicts on requests that waited, to be passed on.
  using Verdicts = std::vector<std::pair<QuotaCallback, QuotaVerdict>>;

  /// Message to the owner of some shares.
  struct Question
  {
    PeerEndpoint owner_;
    PeerQuotaRequest request_;
  };

  /// A team of which requests are refused.
  struct Report
  {
    QuotaShareId share_; ///< that will have credit first
    Duration retryAfter_{};
  };

  /// Counters since the start.
  struct Counters
  {
    std::uint64_t questions_ = 0; ///< messages to owners, this instance included
    std::uint64_t granted_ = 0;   ///< requests for which credit arrived
    std::uint64_t denials_ = 0;   ///< answers that denied a part of what was asked for
    std::uint64_t silences_ = 0;  ///< questions without an answer in time
    std::uint64_t returned_ = 0;  ///< credit of requests that were not sent to any upstream
    std::uint64_t refusals_ = 0;  ///< requests refused
  };

  /// @param aSelf this instance
  /// @param aSeed seed of the order of questions and of the spread of Retry-After
  QuotaLedger(const InstanceId& aSelf, std::uint64_t aSeed);

  /// Takes credit for a request; see QuotaGate. If the result is Waits, TakeQuestions() is due. The
  /// verdict follows when an owner answers or counts as silent, and may be later than aWaitUntil;
  /// it is a refusal then.
  QuotaVerdict Admit(std::uint64_t aTeam,
                     const QuotaPlan& aPlan,
                     MonotonicTime aNow,
                     MonotonicTime aWaitUntil,
                     QuotaCallback aCallback);
  /// Returns credit; see QuotaGate.
  void Return(const QuotaCredit& aCredit, MonotonicTime aNow);

  /// @return the messages that are to be sent now, at most one to each owner
  std::vector<Question> TakeQuestions(const QuotaOwnership& aOwnership,
                                      MonotonicTime aNow,
                                      Verdicts& aVerdicts);
  /// Processes an answer. TakeQuestions() is due.
  /// @param aOwner the instance that sent it
  void OnGrant(const InstanceId& aOwner,
               const PeerQuotaGrant& aGrant,
               MonotonicTime aNow,
               Verdicts& aVerdicts);
  /// Processes that an instance cannot be reached. TakeQuestions() is due.
  void OnUnreachable(const InstanceId& aOwner, MonotonicTime aNow, Verdicts& aVerdicts);
  /// Processes what has timed out. TakeQuestions() is due.
  void Advance(MonotonicTime aNow, Verdicts& aVerdicts);
  /// @return when Advance() is due, or nothing
  std::optional<MonotonicTime> NextDue() const;
  /// Drops what was not used for a while.
  void DropUnused(MonotonicTime aNow);

  /// @return the teams that were refused credit, each once in kReportInterval
  std::vector<Report> TakeReports() { return std::exchange(reports_, {}); }

  bool HasQuestions() const { return !due_.empty(); }
  const Counters& GetCounters() const { return counters_; }
  std::size_t TeamCount() const { return teams_.size(); }

private:
  struct Credit
  {
    MonotonicTime endsAt_;
    std::uint32_t count_ = 0;
  };

  struct Waiter
  {
    MonotonicTime until_;
    QuotaCallback callback_;
  };

  struct TeamState
  {
    std::uint32_t shareCount_ = 1;
    std::uint32_t grantedShare_ = 0; ///< that granted credit last
    MonotonicTime grantedAt_{};      ///< when it did so
    MonotonicTime reportAt_{};       ///< from when on refusals are reported
    Duration creditLifetime_{};
    std::vector<Credit> credits_; ///< in no order
    std::vector<Waiter> waiters_; ///< in the order of their arrival
    std::uint64_t askedBy_ = 0;   ///< sequence number of the open question; 0 without one
    bool due_ = false;            ///< in due_
    double demand_ = 0;           ///< requests per second, recently
    MonotonicTime demandAt_{};    ///< of the last request
    /// Times before which the shares are not asked.
    std::array<MonotonicTime, QuotaPlan::kMaxShares> deniedUntil_{};
  };

  /// A question that was sent, kept for as long as its credit lasts.
  struct OpenQuestion
  {
    InstanceId owner_;
    MonotonicTime askedAt_;
    MonotonicTime endsAt_;                      ///< when the question is forgotten
    bool silent_ = false;                       ///< the answer is late
    std::vector<PeerQuotaRequest::Item> items_; ///< without an answer
  };

  static bool TakeCredit(TeamState& aState, MonotonicTime aNow, MonotonicTime& aEndsAt);
  static void ObserveDemand(TeamState& aState, MonotonicTime aNow);
  static std::uint32_t Wanted(const TeamState& aState, MonotonicTime aNow);
  static bool HasShareToAsk(const TeamState& aState, MonotonicTime aNow);
  std::optional<std::uint32_t> NextShare(const TeamState& aState,
                                         std::optional<std::uint32_t> aNearShare,
                                         MonotonicTime aNow) const;
  Duration OnRefused(std::uint64_t aTeam, TeamState& aState, MonotonicTime aNow);
  std::optional<std::uint32_t> ShareToAsk(TeamState& aState,
                                          const QuotaOwnership::Owners& aOwners,
                                          MonotonicTime aNow) const;
  void Ask(std::uint64_t aTeam, TeamState& aState);
  void Serve(std::uint64_t aTeam, TeamState& aState, MonotonicTime aNow, Verdicts& aVerdicts);
  void Refuse(std::uint64_t aTeam, TeamState& aState, MonotonicTime aNow, Verdicts& aVerdicts);
  void OnSilent(std::uint64_t aSequence,
                OpenQuestion& aQuestion,
                MonotonicTime aNow,
                Verdicts& aVerdicts);

  Random random_;
  std::uint64_t nextSequence_;
  /// Differs among instances, so that they turn to different shares.
  std::uint32_t order_;
  std::unordered_map<std::uint64_t, TeamState> teams_;
  std::vector<std::uint64_t> due_; ///< teams with waiting requests and no open question
  std::map<std::uint64_t, OpenQuestion> questions_; ///< by sequence number, so by time
  std::map<InstanceId, MonotonicTime> silentUntil_; ///< owners that are not asked
  std::map<InstanceId, MonotonicTime> askedAt_;     ///< owners that were asked recently
  std::optional<MonotonicTime> heldUntil_;          ///< when teams in due_ can be asked for
  std::vector<Report> reports_;
  Counters counters_;
};

} // namespace boragepier

#endif
