#ifndef BORAGEPIER_STATE_PROCESS_LIST_H
#define BORAGEPIER_STATE_PROCESS_LIST_H

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/ports/instance_list.h"
#include "boragepier/ports/peer_message.h"
#include "boragepier/state/version_index.h"

namespace boragepier {

/// A process that is no longer listed stays usable for this number of rounds, because the list can
/// be incomplete for a short time. A process that has really stopped is noticed by failed
/// connections.
inline constexpr std::uint64_t kMissingGraceRounds = 30;
/// An entry that is marked as missing is kept as a tombstone for this number of rounds. It prevents
/// an instance that was partitioned from the others from restoring the process with an older entry.
inline constexpr std::uint64_t kTombstoneRounds = 600;

/// The platform's list of processes, merged from the fetches of all instances. Each entry has the
/// round in which its last change was seen. Of two entries of a process, the one with the higher
/// start number wins, then the one with the later round. Rounds are explained at FleetState.
class ProcessList
{
public:
  using Entries = std::map<std::string, ProcessEntry, std::less<>>;

  ProcessList();

  /// Merges a list that this instance fetched. Processes that are not in it are marked as missing,
  /// unless it contains no upstream at all: an empty list is taken for a fault of the platform, not
  /// for the loss of every upstream.
  /// @param aRound the current round
  /// @return keys of the entries that changed
  std::vector<std::string> Merge(std::span<const ListedProcess> aList, std::uint64_t aRound);

  /// Accepts an entry from a peer if it is newer than the known one and not an expired tombstone.
  /// @param aRound the current round
  /// @return whether it was accepted
  bool Accept(ProcessEntry aEntry, std::uint64_t aRound);

  /// Records that the present entries agree with a list fetched in a round, by this instance or by
  /// a peer with the same entries.
  void Confirm(std::uint64_t aRound);
  /// @return the round of the latest fetch with which the entries agreed
  std::uint64_t ConfirmedRound() const { return confirmedRound_; }

  /// Removes the processes that have been missing for kTombstoneRounds.
  /// @param aRound the current round
  void Expire(std::uint64_t aRound);

  /// @param aKey see KeyOf()
  /// @return the entry, or nullptr
  const ProcessEntry* Find(std::string_view aKey) const;
  /// @return the entry of an upstream, or nullptr
  const ProcessEntry* FindUpstream(const UpstreamId& aId) const;
  /// @param aRound the current round
  /// @return whether the process can be used: it is listed, or missing for less than
  ///   kMissingGraceRounds
  static bool IsUsable(const ProcessEntry& aEntry, std::uint64_t aRound);
  /// @return the key of a process: its role and id, as in "upstream/u-1"
  static std::string KeyOf(const ListedProcess& aProcess);

  const Entries& All() const { return entries_; }
  /// @return the versions of the entries, for comparison with peers
  const VersionIndex& Versions() const { return versions_; }

private:
  bool Update(const ListedProcess& aProcess, bool aMissing, std::uint64_t aRound);
  void Store(std::string aKey, ProcessEntry aEntry);

  Entries entries_;
  VersionIndex versions_;
  std::uint64_t confirmedRound_ = 0;
};

} // namespace boragepier

#endif
