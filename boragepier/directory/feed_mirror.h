#ifndef BORAGEPIER_DIRECTORY_FEED_MIRROR_H
#define BORAGEPIER_DIRECTORY_FEED_MIRROR_H

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "boragepier/ports/directory_feed.h"

namespace boragepier {

/// Rows of one topic as one instance knows them, with the removed ones, so that it can tell others
/// what changed since any position.
class FeedMirror
{
public:
  /// Takes in all rows of the topic at a position. A known row that is missing counts as removed.
  /// @return the rows that differ from what was known; none if the position is older
  std::vector<FeedRow> OnSnapshot(std::span<const FeedRow> aRows, std::uint64_t aPosition);
  /// Takes in the rows that changed up to a position.
  /// @return the rows that differ from what was known; none if the position is older
  std::vector<FeedRow> OnChanges(std::span<const FeedRow> aRows, std::uint64_t aPosition);

  /// Rows that changed after a position, in order of change.
  struct Changes
  {
    std::vector<FeedRow> rows_;
    std::uint64_t position_ = 0; ///< up to which rows_ are complete
  };
  /// @param aMaxBytes limit on the values, which a single row may exceed
  Changes Since(std::uint64_t aPosition, std::size_t aMaxBytes) const;

  /// @return the position up to which the rows are known; 0 if none are
  std::uint64_t Position() const { return position_; }

private:
  bool Apply(const FeedRow& aRow);

  std::uint64_t position_ = 0;
  std::map<std::string, FeedRow> rows_;
};

} // namespace boragepier

#endif
