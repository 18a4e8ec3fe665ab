#ifndef BORAGEPIER_STATE_DEPARTURES_H
#define BORAGEPIER_STATE_DEPARTURES_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "boragepier/ports/peer_message.h"
#include "boragepier/state/process_list.h"
#include "boragepier/state/version_index.h"

namespace boragepier {

/// A departure without a signal for this number of rounds (seconds) ends if the list shows the
/// same start as live.
inline constexpr std::uint64_t kDepartureRounds = 60;
/// A repeated signal is recorded, and so relayed, only after this number of rounds: an upstream
/// that drains sends a signal with each answer.
inline constexpr std::uint64_t kDepartureRefreshRounds = 15;

/// Upstream starts that receive no new work. The first signal is enough, whether it comes from the
/// list, an answer, a refusal or a peer. A departure holds for its start number and all lower ones.
class Departures
{
public:
  using Entries = std::map<std::string, Departure, std::less<>>;

  /// @param aList decides which departures have ended; outlives this object
  explicit Departures(const ProcessList& aList);

  /// Records a signal that this instance received in the round now.
  /// @return whether it is news: the upstream was not known as leaving with this start number
  bool Signal(const UpstreamId& aUpstream, std::uint64_t aStartNumber, std::uint64_t aRound);

  /// Records a peer's entry if it is newer than the one held and has not ended.
  /// @param aRound the round now
  /// @return whether it is news, see Signal()
  bool Accept(const Departure& aDeparture, std::uint64_t aRound);

  /// Ends departures, see kDepartureRounds; also those whose upstream shows a newer start.
  /// @param aRound the round now
  /// @return whether any ended
  bool Expire(std::uint64_t aRound);

  /// Adds to the rounds of all entries, after this instance learnt that its round was behind. No
  /// entry becomes later than the round now: those from peers have the right round already.
  void Shift(std::uint64_t aRounds, std::uint64_t aRound);

  /// @return whether the start of the upstream is departing
  bool Holds(std::string_view aUpstream, std::uint64_t aStartNumber) const;
  /// @return the entry of an upstream, or null
  const Departure* Find(std::string_view aUpstream) const;
  const Entries& All() const { return entries_; }
  const VersionIndex& Index() const { return index_; }

private:
  bool Ended(const Departure& aDeparture, std::uint64_t aRound) const;
  void Put(const Departure& aDeparture);

  const ProcessList& list_;
  Entries entries_;
  VersionIndex index_;
};

} // namespace boragepier

#endif
