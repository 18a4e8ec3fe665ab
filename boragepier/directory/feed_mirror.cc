#include "boragepier/directory/feed_mirror.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace boragepier {

bool
FeedMirror::ApplyRow(const FeedRow& aRow)
{
  const auto [it, isNew] = rows_.try_emplace(aRow.key_, aRow);
  if (isNew) {
    return true;
  }
  if (aRow.version_ <= it->second.version_) {
    return false;
  }
  it->second = aRow;
  return true;
}

std::vector<FeedRow>
FeedMirror::ApplyChanges(std::span<const FeedRow> aRows, std::uint64_t aPosition)
{
  std::vector<FeedRow> changed;
  if (aPosition < position_) {
    return changed;
  }
  for (const FeedRow& row : aRows) {
    if (ApplyRow(row)) {
      changed.push_back(row);
    }
  }
  position_ = aPosition;
  return changed;
}

std::vector<FeedRow>
FeedMirror::ApplySnapshot(std::span<const FeedRow> aRows, std::uint64_t aPosition)
{
  if (aPosition < position_) {
    return {};
  }
  std::vector<FeedRow> changed = ApplyChanges(aRows, aPosition);
  std::set<std::string_view> listedKeys;
  for (const FeedRow& row : aRows) {
    listedKeys.insert(row.key_);
  }
  for (auto& [key, row] : rows_) {
    if (!row.removed_ && !listedKeys.contains(key)) {
      row = { key, aPosition, true, {} };
      changed.push_back(row);
    }
  }
  return changed;
}

FeedMirror::Changes
FeedMirror::ChangesSince(std::uint64_t aPosition, std::size_t aMaxBytes) const
{
  std::vector<const FeedRow*> changedRows;
  for (const auto& [key, row] : rows_) {
    if (row.version_ > aPosition) {
      changedRows.push_back(&row);
    }
  }
  std::sort(
    changedRows.begin(), changedRows.end(), [](const FeedRow* aLeft, const FeedRow* aRight) {
      return aLeft->version_ < aRight->version_;
    });
  Changes changes;
  changes.position_ = std::max(position_, aPosition);
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < changedRows.size(); ++i) {
    const FeedRow& row = *changedRows[i];
    bytes += row.key_.size() + row.value_.size();
    // Rows of one transaction share a version and must not be split.
    const bool startsVersion = i > 0 && changedRows[i - 1]->version_ < row.version_;
    if (bytes > aMaxBytes && startsVersion) {
      changes.position_ = changedRows[i - 1]->version_;
      break;
    }
    changes.rows_.push_back(row);
  }
  return changes;
}

} // namespace boragepier
