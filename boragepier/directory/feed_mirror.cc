#include "boragepier/directory/feed_mirror.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace boragepier {

bool
FeedMirror::Apply(const FeedRow& aRow)
{
  const auto [place, isNew] = rows_.try_emplace(aRow.key_, aRow);
  if (isNew) {
    return true;
  }
  if (aRow.version_ <= place->second.version_) {
    return false;
  }
  place->second = aRow;
  return true;
}

std::vector<FeedRow>
FeedMirror::OnChanges(std::span<const FeedRow> aRows, std::uint64_t aPosition)
{
  std::vector<FeedRow> changed;
  if (aPosition < position_) {
    return changed;
  }
  for (const FeedRow& row : aRows) {
    if (Apply(row)) {
      changed.push_back(row);
    }
  }
  position_ = aPosition;
  return changed;
}

std::vector<FeedRow>
FeedMirror::OnSnapshot(std::span<const FeedRow> aRows, std::uint64_t aPosition)
{
  if (aPosition < position_) {
    return {};
  }
  std::vector<FeedRow> changed = OnChanges(aRows, aPosition);
  std::set<std::string_view> listed;
  for (const FeedRow& row : aRows) {
    listed.insert(row.key_);
  }
  for (auto& [key, row] : rows_) {
    if (!row.removed_ && !listed.contains(key)) {
      row = { key, aPosition, true, {} };
      changed.push_back(row);
    }
  }
  return changed;
}

FeedMirror::Changes
FeedMirror::Since(std::uint64_t aPosition, std::size_t aMaxBytes) const
{
  std::vector<const FeedRow*> newer;
  for (const auto& [key, row] : rows_) {
    if (row.version_ > aPosition) {
      newer.push_back(&row);
    }
  }
  std::sort(newer.begin(), newer.end(), [](const FeedRow* aLeft, const FeedRow* aRight) {
    return aLeft->version_ < aRight->version_;
  });
  Changes changes;
  changes.position_ = std::max(position_, aPosition);
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < newer.size(); ++i) {
    const FeedRow& row = *newer[i];
    bytes += row.key_.size() + row.value_.size();
    // Rows of one transaction have one version and must stay together.
    const bool newVersion = i > 0 && newer[i - 1]->version_ < row.version_;
    if (bytes > aMaxBytes && newVersion) {
      changes.position_ = newer[i - 1]->version_;
      break;
    }
    changes.rows_.push_back(row);
  }
  return changes;
}

} // namespace boragepier
