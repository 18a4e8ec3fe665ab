#include "boragepier/directory/store_view.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "boragepier/directory/config_parts.h"

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

bool
StoreView::ObserveEra(std::uint64_t aEra)
{
  if (aEra <= era_) {
    return false;
  }
  era_ = aEra;
  bool hasRows = false;
  for (TopicState& topic : topics_) {
    if (topic.mirror_.IsEmpty() && !topic.relisted_) {
      topic.era_ = aEra;
      continue;
    }
    hasRows = true;
    StartRelisting(topic);
    topic.completePosition_ = 0;
  }
  return hasRows;
}

std::vector<FeedRow>
StoreView::EnterEra(FeedTopic aTopic, FeedMirror&& aRows)
{
  TopicState& topic = StateOf(aTopic);
  topic.era_ = era_;
  topic.confirmedAt_.reset(); // by the store as it was before
  return topic.mirror_.ReplaceWith(std::move(aRows));
}

std::optional<std::vector<FeedRow>>
StoreView::ApplyResponse(FeedTopic aTopic,
                         const FeedResponse& aResponse,
                         bool aChangesOnly,
                         MonotonicTime aObservedAt)
{
  TopicState& topic = StateOf(aTopic);
  const bool isNewEra = topic.era_ < era_;
  if (aResponse.era_ != era_ || (isNewEra && aChangesOnly)) {
    return std::nullopt;
  }
  AbandonTransfer(topic);
  if (!isNewEra && aResponse.position_ < topic.mirror_.Position()) {
    return std::nullopt;
  }
  std::vector<FeedRow> replaced;
  if (isNewEra) {
    FeedMirror rows;
    if (aTopic == FeedTopic::Configuration && aResponse.rows_.empty()) {
      // The copy has none, or none that can be read: the known one stays.
      std::vector<FeedRow> known = topic.mirror_.LiveRows();
      for (FeedRow& row : known) {
        row.version_ = aResponse.position_;
      }
      rows.ApplySnapshot(known, aResponse.position_);
    } else {
      rows.ApplySnapshot(aResponse.rows_, aResponse.position_);
    }
    replaced = EnterEra(aTopic, std::move(rows));
  }
  topic.synced_ = true;
  topic.confirmedAt_ = aObservedAt;
  topic.relisted_.reset();
  topic.completePosition_ = aResponse.position_;
  topic.partial_ = false;
  if (isNewEra) {
    return replaced;
  }
  if (aTopic == FeedTopic::Configuration) {
    // The store has one row, which is read as a whole or not at all. Its removal changes nothing.
    return aResponse.rows_.empty()
             ? topic.mirror_.ApplyChanges(aResponse.rows_, aResponse.position_)
             : topic.mirror_.ReplaceContent(aResponse.rows_, aResponse.position_);
  }
  return aChangesOnly ? topic.mirror_.ApplyChanges(aResponse.rows_, aResponse.position_)
                      : topic.mirror_.ApplySnapshot(aResponse.rows_, aResponse.position_);
}

bool
StoreView::IsConsistent(FeedTopic aTopic, const FeedMirror& aMirror)
{
  if (aTopic != FeedTopic::Configuration) {
    return true;
  }
  const FeedRow* const summary = aMirror.Find(std::string(kConfigSummaryKey));
  if (summary == nullptr) {
    return aMirror.Digest() == 0;
  }
  try {
    const ConfigPart part = DecodeConfigPart(*summary);
    return std::get<ConfigSummary>(part).digest_ == aMirror.Digest();
  } catch (const ConfigPartError&) {
    return false;
  }
}

void
StoreView::AbandonTransfer(TopicState& aTopic)
{
  if (!aTopic.transferFrom_) {
    return;
  }
  aTopic.transferFrom_.reset();
  aTopic.mirror_.Rewind(aTopic.completePosition_);
  if (aTopic.relisted_) {
    aTopic.relisted_ = std::make_unique<FeedMirror>();
  }
}

void
StoreView::StartRelisting(TopicState& aTopic)
{
  aTopic.transferFrom_.reset();
  aTopic.mirror_.Rewind(aTopic.completePosition_);
  aTopic.relisted_ = std::make_unique<FeedMirror>();
  aTopic.synced_ = false;
}

void
StoreView::AbandonOtherTransfers(const std::optional<InstanceId>& aSource)
{
  for (TopicState& topic : topics_) {
    if (topic.transferFrom_ != aSource) {
      AbandonTransfer(topic);
    }
  }
}

std::optional<std::vector<FeedRow>>
StoreView::ApplyUpdate(FeedTopic aTopic,
                       const InstanceId& aSender,
                       std::uint64_t aEra,
                       const PeerStoreUpdate::Topic& aUpdate,
                       MonotonicTime aObservedAt)
{
  TopicState& topic = StateOf(aTopic);
  if (aEra != era_ || aUpdate.position_ == 0 ||
      aUpdate.from_ > SubscribePosition(aTopic, aSender)) {
    return std::nullopt;
  }
  if (topic.transferFrom_ && *topic.transferFrom_ != aSender) {
    if (!aUpdate.complete_) {
      return std::nullopt;
    }
    AbandonTransfer(topic);
  }
  const bool wasRelisting = topic.relisted_ != nullptr;
  FeedMirror& target = wasRelisting ? *topic.relisted_ : topic.mirror_;
  if (target.MayMissRemovals(aUpdate.gaps_)) {
    StartRelisting(topic);
    return std::vector<FeedRow>();
  }
  target.AddGaps(aUpdate.gaps_);
  std::vector<FeedRow> changed = target.ApplyChanges(aUpdate.rows_, aUpdate.position_);
  if (!aUpdate.complete_) {
    topic.transferFrom_ = aSender;
    topic.partial_ = topic.partial_ || !changed.empty();
    return wasRelisting ? std::vector<FeedRow>() : changed;
  }
  if (!IsConsistent(aTopic, target)) {
    StartRelisting(topic);
    return wasRelisting ? std::vector<FeedRow>() : changed;
  }
  topic.transferFrom_.reset();
  if (topic.era_ < era_) {
    const auto relisted = std::exchange(topic.relisted_, nullptr);
    changed = EnterEra(aTopic, std::move(*relisted));
  } else if (topic.relisted_) {
    if (target.Position() < topic.mirror_.Position()) {
      return std::vector<FeedRow>();
    }
    const auto relisted = std::exchange(topic.relisted_, nullptr);
    changed = aTopic == FeedTopic::Configuration
                ? topic.mirror_.ReplaceContent(relisted->LiveRows(), relisted->Position())
                : topic.mirror_.ApplySnapshot(relisted->LiveRows(), relisted->Position());
  }
  topic.synced_ = true;
  topic.partial_ = false;
  topic.completePosition_ = topic.mirror_.Position();
  if (aUpdate.position_ >= topic.mirror_.Position()) {
    topic.confirmedAt_ = std::max(topic.confirmedAt_.value_or(aObservedAt), aObservedAt);
  }
  return changed;
}

FeedPositions
StoreView::CompletePositions() const
{
  return PositionsBy([&](FeedTopic aTopic) { return CompletePosition(aTopic); });
}

std::uint64_t
StoreView::SubscribePosition(FeedTopic aTopic, const InstanceId& aSource) const
{
  const TopicState& topic = StateOf(aTopic);
  if (topic.transferFrom_ && *topic.transferFrom_ != aSource) {
    return topic.relisted_ ? 0 : topic.completePosition_;
  }
  return topic.relisted_ ? topic.relisted_->Position() : topic.mirror_.Position();
}

FeedPositions
StoreView::SubscribePositions(const InstanceId& aSource) const
{
  return PositionsBy([&](FeedTopic aTopic) { return SubscribePosition(aTopic, aSource); });
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
  const std::uint64_t position = topic.completePosition_;
  const bool lacksRows = !topic.synced_ && position > aFrom;
  if (topic.era_ < era_ || !topic.confirmedAt_ || lacksRows || aFrom > position) {
    return update; // position 0 tells the subscriber to ignore this topic
  }
  update.from_ = aFrom;
  update.position_ = aFrom;
  update.complete_ = true;
  update.ageMs_ = static_cast<std::uint64_t>(ToMilliseconds(aNow - *topic.confirmedAt_));
  if (position > aFrom) {
    auto changes = topic.mirror_.ChangesSince(aFrom, position, aMaxBytes);
    update.complete_ = changes.position_ >= position;
    update.rows_ = std::move(changes.rows_);
    update.position_ = changes.position_;
    update.gaps_ = topic.mirror_.GapsAfter(aFrom);
  }
  // Rows of an unfinished transfer have replaced some of those up to the position.
  update.complete_ = update.complete_ && !topic.partial_;
  return update;
}

} // namespace boragepier
