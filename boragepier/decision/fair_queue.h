#ifndef BORAGEPIER_DECISION_FAIR_QUEUE_H
#define BORAGEPIER_DECISION_FAIR_QUEUE_H

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace boragepier {

/// Start-time fair queueing (SFQ) among the teams whose requests wait in one queue. Each request
/// gets a start tag; requests are to be dispatched in the order of their tags. A team that uses
/// less than its share gets the present virtual time as tag, and so goes before the backlog of the
/// others; what it leaves is used by them. Keeps state only for teams ahead of the virtual time.
///
/// Costs and tags are in milliseconds of work.
class FairQueue
{
public:
  /// @return whether requests of teams are waiting or were dispatched since Clear()
  bool IsActive() const { return !finishTags_.empty() || virtualTime_ > 0; }
  /// @return the largest tag of a dispatched request
  double VirtualTime() const { return virtualTime_; }
  /// @return the tag that the next request of a team would get
  double NextTag(std::uint64_t aTeam) const;
  /// Charges a team for a request that is queued or dispatched.
  /// @return the start tag of the request
  double Charge(std::uint64_t aTeam, double aCost);
  /// Takes back the charge for a request that left the queue without being dispatched.
  void Refund(std::uint64_t aTeam, double aCost);
  /// A request is dispatched.
  void OnDispatch(double aTag);
  /// The queue is empty: no team has to wait for another one any more.
  void Clear();

  /// Number of teams with state.
  std::size_t TeamCount() const { return finishTags_.size(); }

private:
  void RemoveIdle();

  std::unordered_map<std::uint64_t, double> finishTags_;
  double virtualTime_ = 0; ///< largest tag of a dispatched request
  std::size_t nextCleanupSize_ = 64;
};

} // namespace boragepier

#endif
