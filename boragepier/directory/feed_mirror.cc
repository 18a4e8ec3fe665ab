#include "boragepier/directory/feed_mirror.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "boragepier/directory/config_parts.h"

namespace boragepier {

namespace {

// Returns tombstones for the rows that are not among aListed.
std::vector<FeedRow>
RemovalsOfUnlisted(const std::map<std::string, FeedRow>& aRows,
                   std::span<const FeedRow> aListed,
                   std::uint64_t aPosition)
{
  std::set<std::string_view> listedKeys;
  for (const FeedRow& row : aListed) {
    listedKeys.insert(row.key_);
  }
  std::vector<FeedRow> removals;
  for (const auto& [key, row] : aRows) {
    if (!row.removed_ && !listedKeys.contains(key)) {
      removals.push_back({ key, aPosition, true, {} });
    }
  }
  return removals;
}

} // namespace

void
FeedMirror::SetRow(const FeedRow& aRow)
{
  const auto [it, isNew] = rows_.try_emplace(aRow.key_, aRow);
  if (!isNew) {
    rowsByVersion_.erase({ it->second.version_, it->first });
    digest_ -= DigestOfPart(it->second);
    it->second = aRow;
  }
  digest_ += DigestOfPart(aRow);
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
  if (const RemovalGap gap{ position_, aPosition }; gap.after_ < gap.before_) {
    AddGaps(std::span(&gap, 1));
  }
  std::vector<FeedRow> changed = ApplyChanges(aRows, aPosition);
  for (FeedRow& row : RemovalsOfUnlisted(rows_, aRows, aPosition)) {
    SetRow(row);
    changed.push_back(std::move(row));
  }
  return changed;
}

std::vector<FeedRow>
FeedMirror::ReplaceContent(std::span<const FeedRow> aRows, std::uint64_t aPosition)
{
  if (aPosition < position_) {
    return {};
  }
  std::vector<FeedRow> changed = RemovalsOfUnlisted(rows_, aRows, aPosition);
  for (const FeedRow& row : aRows) {
    const FeedRow* const known = Find(row.key_);
    if (known == nullptr || known->removed_ || known->value_ != row.value_) {
      changed.push_back(row);
    }
  }
  for (const FeedRow& row : changed) {
    SetRow(row);
  }
  position_ = aPosition;
  return changed;
}

std::vector<FeedRow>
FeedMirror::ReplaceWith(FeedMirror&& aOther)
{
  const std::vector<FeedRow> rows = aOther.LiveRows();
  std::vector<FeedRow> changed = RemovalsOfUnlisted(rows_, rows, aOther.position_);
  for (const FeedRow& row : rows) {
    const FeedRow* const known = Find(row.key_);
    if (known == nullptr || known->removed_ || known->value_ != row.value_) {
      changed.push_back(row);
    }
  }
  position_ = aOther.position_;
  digest_ = aOther.digest_;
  // Moving a map keeps its elements, to which rowsByVersion_ refers, in place.
  rowsByVersion_ = std::move(aOther.rowsByVersion_);
  rows_ = std::move(aOther.rows_);
  gaps_ = std::move(aOther.gaps_);
  listedUntil_ = aOther.listedUntil_;
  return changed;
}

const FeedRow*
FeedMirror::Find(const std::string& aKey) const
{
  const auto found = rows_.find(aKey);
  return found == rows_.end() ? nullptr : &found->second;
}

void
FeedMirror::AddGaps(std::span<const RemovalGap> aGaps)
{
  const std::uint64_t knownUntil = RemovalsKnownUntil();
  for (const RemovalGap& gap : aGaps) {
    if (gap.before_ > knownUntil) {
      gaps_.push_back({ std::max(gap.after_, knownUntil), gap.before_ });
    }
    if (position_ == 0) {
      listedUntil_ = std::max(listedUntil_, gap.before_);
    }
  }
  std::sort(gaps_.begin(), gaps_.end(), [](const RemovalGap& aLeft, const RemovalGap& aRight) {
    return aLeft.after_ < aRight.after_;
  });
  while (gaps_.size() > kMaxGaps) {
    gaps_[1] = { gaps_[0].after_, std::max(gaps_[0].before_, gaps_[1].before_) };
    gaps_.erase(gaps_.begin());
  }
}

bool
FeedMirror::MayMissRemovals(std::span<const RemovalGap> aGaps) const
{
  const std::uint64_t knownUntil = RemovalsKnownUntil();
  return std::any_of(aGaps.begin(), aGaps.end(), [&](const RemovalGap& aGap) {
    return aGap.after_ < knownUntil && knownUntil < aGap.before_;
  });
}

std::vector<RemovalGap>
FeedMirror::GapsAfter(std::uint64_t aPosition) const
{
  std::vector<RemovalGap> gaps;
  std::copy_if(gaps_.begin(), gaps_.end(), std::back_inserter(gaps), [&](const RemovalGap& aGap) {
    return aGap.before_ > aPosition;
  });
  return gaps;
}

std::vector<FeedRow>
FeedMirror::LiveRows() const
{
  std::vector<FeedRow> rows;
  for (const auto& [key, row] : rows_) {
    if (!row.removed_) {
      rows.push_back(row);
    }
  }
  return rows;
}

FeedMirror::Changes
FeedMirror::ChangesSince(std::uint64_t aAfter, std::uint64_t aUntil, std::size_t aMaxBytes) const
{
  Changes changes;
  changes.position_ = aUntil;
  std::size_t bytes = 0;
  std::uint64_t lastVersion = 0;
  for (auto it = rowsByVersion_.lower_bound({ aAfter + 1, {} });
       it != rowsByVersion_.end() && it->first.first <= aUntil;
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
