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

/// A process that the list no longer holds stays usable for this number of rounds, because the
/// list can be wrong for a short time. A process that is gone is found by failing connections.
inline constexpr std::uint64_t kMissingGraceRounds = 30;
/// A missing process is forgotten after this number of rounds. Until then an instance that comes
/// back from a partition cannot bring it back.
inline constexpr std::uint64_t kForgetRounds = 600;

/// The platform's list as merged from the fetches of all instances. Each entry has the round in
/// which its change was seen; the newer start number, then the newer round wins.
class ProcessList
{
public:
  using Entries = std::map<std::string, ProcessEntry, std::less<>>;

  ProcessList();

  /// Merges a fetched list. Processes that it lacks are marked as missing, unless it holds no
  /// upstream at all: such a list is an error of the platform, not the loss of every upstream.
  /// @param aList the list
  /// @param aRound the round now
  /// @return keys of the entries that changed
  std::vector<std::string> Merge(std::span<const ListedProcess> aList, std::uint64_t aRound);

  /// Accepts an entry from a peer if it is newer than the one held.
  /// @return whether it was
  bool Accept(ProcessEntry aEntry, std::uint64_t aRound);

  /// A peer with the same entries holds the list as fetched in a round.
  void Confirm(std::uint64_t aRound);
  /// @return round of the latest fetch that the entries agree with
  std::uint64_t ConfirmedRound() const { return confirmedRound_; }

  /// Forgets processes that have been missing for kForgetRounds.
  void Expire(std::uint64_t aRound);

  /// @param aKey see KeyOf()
  /// @return the entry, or null
  const ProcessEntry* Find(std::string_view aKey) const;
  /// @return the entry of an upstream, or null
  const ProcessEntry* FindUpstream(const UpstreamId& aId) const;
  /// @return whether the process can be used: listed, or missing for a short time only
  static bool Usable(const ProcessEntry& aEntry, std::uint64_t aRound);
  /// @return the key of a process
  static std::string KeyOf(const ListedProcess& aProcess);

  const Entries& All() const { return entries_; }
  const VersionIndex& Index() const { return index_; }

private:
  bool Update(const ListedProcess& aProcess, bool aMissing, std::uint64_t aRound);
  void Put(std::string aKey, ProcessEntry aEntry);

  Entries entries_;
  VersionIndex index_;
  std::uint64_t confirmedRound_ = 0;
};

} // namespace boragepier

#endif
