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

/// A departure ends after this number of rounds (seconds) without a new signal, if the platform's
/// list shows the same start as running.
inline constexpr std::uint64_t kDepartureTimeoutRounds = 60;
/// A repeated signal refreshes a departure, which is then exchanged with peers again, only after
/// this number of rounds: a draining upstream sends a signal with each answer.
inline constexpr std::uint64_t kDepartureRefreshRounds = 15;

/// Upstream processes that are draining or have exited and receive no new requests. One signal
/// starts a departure, whether it comes from the platform's list, an answer, a refusal or a peer. A
/// departure applies to its start number and all lower ones, so that a restarted upstream, which
/// has a higher start number, is used again. Rounds are explained at FleetState.
class Departures
{
public:
  using Entries = std::map<std::string, Departure, std::less<>>;

  /// @param aProcesses the platform's list, which decides when a departure ends; outlives this
  ///   object
  explicit Departures(const ProcessList& aProcesses);

  /// Records a signal that this instance received.
  /// @param aRound the current round
  /// @return whether the departure is new: none was known for this start number or a higher one
  bool RecordSignal(const UpstreamId& aUpstream, std::uint64_t aStartNumber, std::uint64_t aRound);

  /// Records a departure received from a peer, if it is newer than the known one and has not ended.
  /// @param aRound the current round
  /// @return whether the departure is new, see RecordSignal()
  bool Accept(const Departure& aDeparture, std::uint64_t aRound);

  /// Removes the departures that have ended: see kDepartureTimeoutRounds; also those of upstreams
  /// with a higher start number in the list, and those of unlisted upstreams after
  /// kTombstoneRounds.
  /// @param aRound the current round
  /// @return whether any was removed
  bool Expire(std::uint64_t aRound);

  /// Adds aRounds to the rounds of all departures, after this instance found that its round was
  /// behind. No departure gets a round later than aRound, since those received from peers already
  /// have the round of the fleet.
  /// @param aRound the current round
  void ShiftRounds(std::uint64_t aRounds, std::uint64_t aRound);

  /// @return whether a start of an upstream is draining or has exited
  bool IsDeparting(std::string_view aUpstream, std::uint64_t aStartNumber) const;
  /// @return the departure of an upstream, or nullptr
  const Departure* Find(std::string_view aUpstream) const;
  const Entries& All() const { return entries_; }
  /// @return start number and round of each departure, for comparison with peers
  const VersionIndex& Versions() const { return versions_; }

private:
  bool HasEnded(const Departure& aDeparture, std::uint64_t aRound) const;
  void Store(const Departure& aDeparture);

  const ProcessList& processes_;
  Entries entries_;
  VersionIndex versions_;
};

} // namespace boragepier

#endif
