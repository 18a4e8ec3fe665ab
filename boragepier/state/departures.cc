#include "boragepier/state/departures.h"

#include <algorithm>

namespace boragepier {

namespace {

constexpr std::size_t kDepartureBuckets = 4;

} // namespace

Departures::Departures(const ProcessList& aList)
  : list_(aList)
  , index_(kDepartureBuckets)
{
}

bool
Departures::Ended(const Departure& aDeparture, std::uint64_t aRound) const
{
  const std::uint64_t age = aRound > aDeparture.round_ ? aRound - aDeparture.round_ : 0;
  const ProcessEntry* listed = list_.FindUpstream(aDeparture.upstream_);
  if (listed == nullptr) {
    return age >= kForgetRounds;
  }
  if (listed->process_.startNumber_ > aDeparture.startNumber_) {
    return true;
  }
  const bool live = !listed->missing_ && !listed->process_.leaving_ &&
                    listed->process_.startNumber_ == aDeparture.startNumber_;
  // What the list showed before the departure says nothing: it must have been fetched since.
  return live && age >= kDepartureRounds &&
         list_.ConfirmedRound() >= aDeparture.round_ + kDepartureRounds;
}

bool
Departures::Signal(const UpstreamId& aUpstream, std::uint64_t aStartNumber, std::uint64_t aRound)
{
  const Departure* held = Find(aUpstream.View());
  if (held != nullptr && held->startNumber_ >= aStartNumber &&
      aRound < held->round_ + kDepartureRefreshRounds) {
    return false;
  }
  return Accept({ aUpstream, aStartNumber, aRound }, aRound);
}

bool
Departures::Accept(const Departure& aDeparture, std::uint64_t aRound)
{
  const Departure* held = Find(aDeparture.upstream_.View());
  const EntryVersion version{ aDeparture.startNumber_, aDeparture.round_ };
  if (held != nullptr && EntryVersion{ held->startNumber_, held->round_ } >= version) {
    return false;
  }
  if (Ended(aDeparture, aRound)) {
    return false;
  }
  const bool news = held == nullptr || held->startNumber_ < aDeparture.startNumber_;
  Put(aDeparture);
  return news;
}

void
Departures::Put(const Departure& aDeparture)
{
  index_.Set(aDeparture.upstream_.View(), { aDeparture.startNumber_, aDeparture.round_ });
  entries_.insert_or_assign(aDeparture.upstream_.Text(), aDeparture);
}

bool
Departures::Expire(std::uint64_t aRound)
{
  const std::size_t ended = std::erase_if(entries_, [&](const auto& aItem) {
    if (!Ended(aItem.second, aRound)) {
      return false;
    }
    index_.Erase(aItem.first);
    return true;
  });
  return ended > 0;
}

void
Departures::Shift(std::uint64_t aRounds, std::uint64_t aRound)
{
  for (auto& [name, departure] : entries_) {
    departure.round_ = std::min(departure.round_ + aRounds, aRound);
    index_.Set(name, { departure.startNumber_, departure.round_ });
  }
}

bool
Departures::Holds(std::string_view aUpstream, std::uint64_t aStartNumber) const
{
  const Departure* held = Find(aUpstream);
  return held != nullptr && aStartNumber <= held->startNumber_;
}

const Departure*
Departures::Find(std::string_view aUpstream) const
{
  const auto found = entries_.find(aUpstream);
  return found == entries_.end() ? nullptr : &found->second;
}

} // namespace boragepier
