#ifndef BORAGEPIER_DIRECTORY_FEED_MIRROR_H
#define BORAGEPIER_DIRECTORY_FEED_MIRROR_H

#include <algorithm>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "boragepier/ports/directory_feed.h"

namespace boragepier {

/// Local copy of the rows of one topic. Keeps removed rows as tombstones, so that it can return the
/// changes since a position. A snapshot lists no removed rows, so the removals between the position
/// of the mirror and that of the snapshot are known only for rows that the mirror had: the mirror
/// keeps account of such gaps.
class FeedMirror
{
public:
  FeedMirror() = default;
  FeedMirror(const FeedMirror&) = delete;
  FeedMirror& operator=(const FeedMirror&) = delete;

  /// Applies all rows of the topic as of a position. A row of the mirror that is not among them is
  /// marked as removed.
  /// @return the rows that changed the mirror; none if aPosition is below Position()
  std::vector<FeedRow> ApplySnapshot(std::span<const FeedRow> aRows, std::uint64_t aPosition);
  /// Applies the rows that changed up to a position.
  /// @return the rows that changed the mirror; none if aPosition is below Position()
  std::vector<FeedRow> ApplyChanges(std::span<const FeedRow> aRows, std::uint64_t aPosition);
  /// Applies all rows of the topic as of a position, by their values: a row whose value is
  /// unchanged keeps its version, so that it is not sent to those who have it. Records no gap; a
  /// copy that missed a removal is found by Digest().
  /// @return the rows that changed the mirror; none if aPosition is below Position()
  std::vector<FeedRow> ReplaceContent(std::span<const FeedRow> aRows, std::uint64_t aPosition);
  /// Takes over the rows and the position of another mirror, also if its position is lower.
  /// Compares by value, because versions do not tell which of two rows is newer.
  /// @param aOther rows of which those that differ from the rows of this mirror are returned
  /// @return the rows that changed the mirror, with the rows that aOther does not have as removed
  std::vector<FeedRow> ReplaceWith(FeedMirror&& aOther);
  /// Returns to a lower position, after which the rows are to be applied again. The rows stay.
  void Rewind(std::uint64_t aPosition) { position_ = std::min(position_, aPosition); }

  /// Records the gaps of a copy whose changes are applied next. Gaps of which this mirror knows the
  /// removals are left out.
  void AddGaps(std::span<const RemovalGap> aGaps);
  /// @return whether the changes of a copy with these gaps may miss the removal of a row that this
  /// mirror has
  bool MayMissRemovals(std::span<const RemovalGap> aGaps) const;
  /// @return the gaps that end after a position, by their start
  std::vector<RemovalGap> GapsAfter(std::uint64_t aPosition) const;

  /// @return whether no row was ever applied
  bool IsEmpty() const { return position_ == 0 && rows_.empty(); }
  /// @return the rows that are not removed
  std::vector<FeedRow> LiveRows() const;

  /// Rows that changed after a position, ordered by version.
  struct Changes
  {
    std::vector<FeedRow> rows_;
    std::uint64_t position_ = 0; ///< up to which rows_ are complete
  };
  /// @param aAfter position after which the rows changed
  /// @param aUntil position until which they changed; not below aAfter
  /// @param aMaxBytes limit on the size of keys and values; the rows of one version may exceed it
  Changes ChangesSince(std::uint64_t aAfter, std::uint64_t aUntil, std::size_t aMaxBytes) const;
  /// Returns the rows that changed after a position, up to Position().
  Changes ChangesSince(std::uint64_t aPosition, std::size_t aMaxBytes) const
  {
    return ChangesSince(aPosition, std::max(aPosition, position_), aMaxBytes);
  }

  /// @return the row with this key, also if it is removed, or null
  const FeedRow* Find(const std::string& aKey) const;
  /// @return sum of DigestOfPart() over the rows
  std::uint64_t Digest() const { return digest_; }

  /// @return the position up to which rows were applied, or 0 if none were
  std::uint64_t Position() const { return position_; }

private:
  /// Above this number, the two earliest gaps are merged. The merged one covers more positions.
  static constexpr std::size_t kMaxGaps = 8;

  void SetRow(const FeedRow& aRow);
  /// @return position up to which no row of the mirror has been removed without its knowledge
  std::uint64_t RemovalsKnownUntil() const { return std::max(position_, listedUntil_); }

  std::uint64_t position_ = 0;
  std::uint64_t digest_ = 0;
  std::map<std::string, FeedRow> rows_;
  /// The same rows, ordered by version and key. Refers to the elements of rows_.
  std::map<std::pair<std::uint64_t, std::string_view>, const FeedRow*> rowsByVersion_;
  std::vector<RemovalGap> gaps_; ///< by their start
  /// A copy that sends all rows in parts, by version, leaves out those that were removed before its
  /// last gap ended. So the mirror has none of them, though its position is still lower.
  std::uint64_t listedUntil_ = 0;
};

} // namespace boragepier

#endif
