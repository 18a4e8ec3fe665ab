#ifndef BORAGEPIER_DIRECTORY_FEED_MIRROR_H
#define BORAGEPIER_DIRECTORY_FEED_MIRROR_H

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
/// changes since any position.
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

  /// Rows that changed after a position, ordered by version.
  struct Changes
  {
    std::vector<FeedRow> rows_;
    std::uint64_t position_ = 0; ///< up to which rows_ are complete
  };
  /// @param aPosition position after which the rows changed
  /// @param aMaxBytes limit on the size of keys and values; the rows of one version may exceed it
  Changes ChangesSince(std::uint64_t aPosition, std::size_t aMaxBytes) const;

  /// @return the position up to which rows were applied, or 0 if none were
  std::uint64_t Position() const { return position_; }

private:
  void SetRow(const FeedRow& aRow);

  std::uint64_t position_ = 0;
  std::map<std::string, FeedRow> rows_;
  /// The same rows, ordered by version and key. Refers to the elements of rows_.
  std::map<std::pair<std::uint64_t, std::string_view>, const FeedRow*> rowsByVersion_;
};

} // namespace boragepier

#endif
