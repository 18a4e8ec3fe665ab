#ifndef BORAGEPIER_DECISION_COLD_LIMIT_H
#define BORAGEPIER_DECISION_COLD_LIMIT_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/base/time.h"

namespace boragepier {

/// What the whole fleet may send to one upstream while it is cold.
struct ColdTerms
{
  double requestsPerSecond_ = 0; ///< 0 for no limit
  double overage_ = 1;           ///< tolerated multiple of the rate in one second, at least 1
  double slack_ = 0;             ///< tolerated requests beyond that in one second

  friend bool operator==(const ColdTerms&, const ColdTerms&) = default;
};

/// Divides the rate of cold upstreams among the instances. For each upstream a few instances are
/// selected by rendezvous hashing, each of which has an equal share of the rate and may save up one
/// request. An instance whose list of instances is wrong may take itself for selected: the
/// tolerance holds for twice the selected instances, as with two lists that have none of them in
/// common. If the rate is too high for that, less of it is divided.
class ColdShares
{
public:
  /// After the first terms with a limit, SetFleet() has to be called.
  /// @return whether the selections or the shares may have changed
  bool SetTerms(const ColdTerms& aTerms);
  /// Keeps nothing, and costs nothing, while there is no limit.
  /// @param aInstances live instances; may be inexact
  /// @return whether the selections or the shares have changed
  bool SetFleet(const InstanceId& aSelf, std::span<const InstanceId> aInstances);

  /// @return whether there is a limit
  bool IsLimited() const { return terms_.requestsPerSecond_ > 0; }
  /// @return number of instances that are selected for one upstream
  std::size_t SenderCount() const { return senderCount_; }
  /// @return requests per second that a selected instance may send to one upstream
  double ShareRate() const { return shareRate_; }
  /// @return whether this instance is selected for an upstream
  bool IsSender(std::string_view aUpstream) const;

private:
  void Recompute();

  ColdTerms terms_;
  std::uint64_t self_ = 0;            ///< hash of this instance
  std::vector<std::uint64_t> others_; ///< hashes of the other instances
  std::size_t senderCount_ = 1;
  double shareRate_ = 0;
};

/// The share of one instance in the rate of one cold upstream.
class ColdUpstream
{
public:
  /// An entry of the upstream that was not known before says that it is cold until a time. Does not
  /// shorten what another source said: entries may be relayed late.
  void ExtendTo(MonotonicTime aEnd, MonotonicTime aNow);
  /// The upstream itself has just said how long it stays cold; zero if it is warm.
  void SetRemaining(Duration aRemaining, MonotonicTime aNow);
  bool IsCold(MonotonicTime aNow) const { return aNow < end_; }
  MonotonicTime End() const { return end_; }

  /// @param aRate requests per second
  /// @param aServingSince since when this instance has sent requests; nothing is saved up before
  /// @return when the next request may be sent; not after aNow if it may be sent now
  MonotonicTime NextRequest(double aRate, MonotonicTime aServingSince) const;
  /// A request is sent.
  void OnDispatch(MonotonicTime aNow) { lastRequest_ = aNow; }

private:
  MonotonicTime end_{};
  MonotonicTime lastRequest_{};
};

} // namespace boragepier

#endif
