#include "boragepier/directory/store_view.h"

#include <algorithm>
#include <utility>

namespace boragepier {

namespace {

template<typename Function>
FeedPositions
PositionsBy(Function aPositionOf)
{
  FeedPositions positions{};
  for (const FeedTopic topic : kFeedTopics) {
    positions[static_cast<std::size_t>(topic)] = aPositionOf(topic);
  }
  return positions;
}

} // namespace

std::optional<std::vector<FeedRow>>
StoreView::ApplyResponse(FeedTopic aTopic,
                         const FeedResponse& aResponse,
                         bool aChangesOnly,
                         MonotonicTime aObservedAt)
{
  TopicState& topic = StateOf(aTopic);
  if (aResponse.position_ < topic.mirror_.Position()) {
    return std::nullopt;
  }
  topic.synced_ = true;
  topic.confirmedAt_ = aObservedAt;
  topic.relisted_.reset();
  return aChangesOnly ? topic.mirror_.ApplyChanges(aResponse.rows_, aResponse.position_)
                      : topic.mirror_.ApplySnapshot(aResponse.rows_, aResponse.position_);
}

std::optional<std::vector<FeedRow>>
StoreView::ApplyUpdate(FeedTopic aTopic,
                       const PeerStoreUpdate::Topic& aUpdate,
                       MonotonicTime aObservedAt)
{
  TopicState& topic = StateOf(aTopic);
  FeedMirror& target = topic.relisted_ ? *topic.relisted_ : topic.mirror_;
  if (aUpdate.position_ == 0 || aUpdate.from_ > target.Position()) {
    return std::nullopt;
  }
  if (target.MayMissRemovals(aUpdate.gaps_)) {
    topic.relisted_ = std::make_unique<FeedMirror>();
    topic.synced_ = false;
    return std::vector<FeedRow>();
  }
  target.AddGaps(aUpdate.gaps_);
  std::vector<FeedRow> changed = target.ApplyChanges(aUpdate.rows_, aUpdate.position_);
  if (topic.relisted_) {
    if (!aUpdate.complete_ || target.Position() < topic.mirror_.Position()) {
      return std::vector<FeedRow>();
    }
    const auto relisted = std::exchange(topic.relisted_, nullptr);
    changed = topic.mirror_.ApplySnapshot(relisted->LiveRows(), relisted->Position());
  }
  topic.synced_ = true;
  if (aUpdate.complete_ && aUpdate.position_ >= topic.mirror_.Position()) {
    topic.confirmedAt_ = std::max(topic.confirmedAt_.value_or(aObservedAt), aObservedAt);
  }
  return changed;
}

FeedPositions
StoreView::Positions() const
{
  return PositionsBy([&](FeedTopic aTopic) { return Position(aTopic); });
}

std::uint64_t
StoreView::SubscribePosition(FeedTopic aTopic) const
{
  const TopicState& topic = StateOf(aTopic);
  return topic.relisted_ ? topic.relisted_->Position() : topic.mirror_.Position();
}

FeedPositions
StoreView::SubscribePositions() const
{
  return PositionsBy([&](FeedTopic aTopic) { return SubscribePosition(aTopic); });
}

bool
StoreView::HasRoutingData() const
{
  return ConfirmedAt().has_value();
}

std::optional<MonotonicTime>
StoreView::ConfirmedAt() const
{
  std::optional<MonotonicTime> earliest;
  for (const FeedTopic topic : kFeedTopics) {
    if (!IsRoutingTopic(topic)) {
      continue;
    }
    const auto& confirmedAt = StateOf(topic).confirmedAt_;
    if (!confirmedAt) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(*confirmedAt), *confirmedAt);
  }
  return earliest;
}

PeerStoreUpdate::Topic
StoreView::UpdateSince(FeedTopic aTopic,
                       std::uint64_t aFrom,
                       std::size_t aMaxBytes,
                       MonotonicTime aNow) const
{
  const TopicState& topic = StateOf(aTopic);
  PeerStoreUpdate::Topic update;
  const bool lacksRows = !topic.synced_ && topic.mirror_.Position() > aFrom;
  if (!topic.confirmedAt_ || lacksRows) {
    return update; // position 0 tells the subscriber to ignore this topic
  }
  update.from_ = aFrom;
  update.position_ = aFrom;
  update.complete_ = true;
  update.ageMs_ = static_cast<std::uint64_t>(ToMilliseconds(aNow - *topic.confirmedAt_));
  if (topic.mirror_.Position() > aFrom) {
    auto changes = topic.mirror_.ChangesSince(aFrom, aMaxBytes);
    update.complete_ = changes.position_ >= topic.mirror_.Position();
    update.rows_ = std::move(changes.rows_);
    update.position_ = changes.position_;
    update.gaps_ = topic.mirror_.GapsAfter(aFrom);
  }
  return update;
}

} // namespace boragepier
