#include "boragepier/state/departures.h"

#include <algorithm>

namespace boragepier {

namespace {

constexpr std::size_t kDepartureBucketCount = 4;

} // namespace

Departures::Departures(const ProcessList& aProcesses)
  : processes_(aProcesses)
  , versions_(kDepartureBucketCount)
{
}

bool
Departures::HasEnded(const Departure& aDeparture, std::uint64_t aRound) const
{
  const std::uint64_t age = aRound > aDeparture.round_ ? aRound - aDeparture.round_ : 0;
  const ProcessEntry* listed = processes_.FindUpstream(aDeparture.upstream_);
  if (listed == nullptr) {
    return age >= kTombstoneRounds;
  }
  if (listed->process_.startNumber_ > aDeparture.startNumber_) {
    return true;
  }
  const bool live = !listed->missing_ && !listed->process_.leaving_ &&
                    listed->process_.startNumber_ == aDeparture.startNumber_;
  // The list counts only if it was fetched long enough after the last signal: an older one shows
  // the upstream as it was before the departure.
  return live && age >= kDepartureTimeoutRounds &&
         processes_.ConfirmedRound() >= aDeparture.round_ + kDepartureTimeoutRounds;
}

bool
Departures::RecordSignal(const UpstreamId& aUpstream,
                         std::uint64_t aStartNumber,
                         std::uint64_t aRound)
{
  const Departure* known = Find(aUpstream.View());
  if (known != nullptr && known->startNumber_ >= aStartNumber &&
      aRound < known->round_ + kDepartureRefreshRounds) {
    return false;
  }
  return Accept({ aUpstream, aStartNumber, aRound }, aRound);
}

bool
Departures::Accept(const Departure& aDeparture, std::uint64_t aRound)
{
  const Departure* known = Find(aDeparture.upstream_.View());
  const EntryVersion version{ aDeparture.startNumber_, aDeparture.round_ };
  if (known != nullptr && EntryVersion{ known->startNumber_, known->round_ } >= version) {
    return false;
  }
  if (HasEnded(aDeparture, aRound)) {
    return false;
  }
  const bool isNew = known == nullptr || known->startNumber_ < aDeparture.startNumber_;
  Store(aDeparture);
  return isNew;
}

void
Departures::Store(const Departure& aDeparture)
{
  versions_.Set(aDeparture.upstream_.View(), { aDeparture.startNumber_, aDeparture.round_ });
  entries_.insert_or_assign(aDeparture.upstream_.Text(), aDeparture);
}

bool
Departures::Expire(std::uint64_t aRound)
{
  const std::size_t ended = std::erase_if(entries_, [&](const auto& aItem) {
    if (!HasEnded(aItem.second, aRound)) {
      return false;
    }
    versions_.Erase(aItem.first);
    return true;
  });
  return ended > 0;
}

void
Departures::ShiftRounds(std::uint64_t aRounds, std::uint64_t aRound)
{
  for (auto& [name, departure] : entries_) {
    departure.round_ = std::min(departure.round_ + aRounds, aRound);
    versions_.Set(name, { departure.startNumber_, departure.round_ });
  }
}

bool
Departures::IsDeparting(std::string_view aUpstream, std::uint64_t aStartNumber) const
{
  const Departure* known = Find(aUpstream);
  return known != nullptr && aStartNumber <= known->startNumber_;
}

const Departure*
Departures::Find(std::string_view aUpstream) const
{
  const auto found = entries_.find(aUpstream);
  return found == entries_.end() ? nullptr : &found->second;
}

} // namespace boragepier
