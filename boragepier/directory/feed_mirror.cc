#include "boragepier/directory/feed_mirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace boragepier {

void
FeedMirror::SetRow(const FeedRow& aRow)
{
  const auto [it, isNew] = rows_.try_emplace(aRow.key_, aRow);
  if (!isNew) {
    rowsByVersion_.erase({ it->second.version_, it->first });
    it->second = aRow;
  }
  rowsByVersion_.emplace(std::pair(aRow.version_, std::string_view(it->first)), &it->second);
}

std::vector<FeedRow>
FeedMirror::ApplyChanges(std::span<const FeedRow> aRows, std::uint64_t aPosition)
{
  std::vector<FeedRow> changed;
  if (aPosition < position_) {
    return changed;
  }
  for (const FeedRow& row : aRows) {
    const auto known = rows_.find(row.key_);
    if (known == rows_.end() || known->second.version_ < row.version_) {
      SetRow(row);
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
  std::vector<FeedRow> removed;
  for (const auto& [key, row] : rows_) {
    if (!row.removed_ && !listedKeys.contains(key)) {
      removed.push_back({ key, aPosition, true, {} });
    }
  }
  for (FeedRow& row : removed) {
    SetRow(row);
    changed.push_back(std::move(row));
  }
  return changed;
}

FeedMirror::Changes
FeedMirror::ChangesSince(std::uint64_t aPosition, std::size_t aMaxBytes) const
{
  Changes changes;
  changes.position_ = std::max(position_, aPosition);
  std::size_t bytes = 0;
  std::uint64_t lastVersion = 0;
  for (auto it = rowsByVersion_.lower_bound({ aPosition + 1, {} }); it != rowsByVersion_.end();
       ++it) {
    const FeedRow& row = *it->second;
    bytes += row.key_.size() + row.value_.size();
    // Rows of one transaction share a version and must not be split.
    if (bytes > aMaxBytes && lastVersion > 0 && lastVersion < row.version_) {
      changes.position_ = lastVersion;
      break;
    }
    lastVersion = row.version_;
    changes.rows_.push_back(row);
  }
  return changes;
}

} // namespace boragepier
