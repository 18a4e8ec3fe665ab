#include "boragepier/state/gossip_entries.h"

namespace boragepier {

namespace {

// Sizes of encoded entries, for ending a message in time. Estimates; the codec checks the limit.
constexpr std::size_t kConfigOverhead = 64;
constexpr std::size_t kProcessBytes = 128;
constexpr std::size_t kDepartureBytes = 40;

// Appends entries to a message until it is large enough, and drops their keys from aKeys.
template<typename Find, typename Append>
void
CollectInto(std::span<const std::string>& aKeys, std::size_t aLimit, Find aFind, Append aAppend)
{
  for (std::size_t bytes = 0; !aKeys.empty() && bytes < aLimit; aKeys = aKeys.subspan(1)) {
    if (const auto* entry = aFind(aKeys.front()); entry != nullptr) {
      bytes += aAppend(*entry);
    }
  }
}

} // namespace

PeerMessage
CollectEntries(const FleetState& aState,
               PeerSection aSection,
               std::span<const std::string>& aKeys,
               std::size_t aLimit)
{
  if (aSection == PeerSection::Configs) {
    PeerConfigs configs;
    const auto find = [&](const std::string& aKey) { return aState.Configs().Find(aKey); };
    CollectInto(aKeys, aLimit, find, [&](const ConfigRecord& aRecord) {
      configs.records_.push_back(aRecord);
      return aRecord.body_.size() + kConfigOverhead;
    });
    return configs;
  }
  if (aSection == PeerSection::Processes) {
    PeerProcesses processes;
    const auto find = [&](const std::string& aKey) { return aState.Processes().Find(aKey); };
    CollectInto(aKeys, aLimit, find, [&](const ProcessEntry& aEntry) {
      processes.entries_.push_back(aEntry);
      return kProcessBytes;
    });
    return processes;
  }
  PeerDepartures departures{ aState.Round(), {} };
  const auto find = [&](const std::string& aKey) { return aState.Departing().Find(aKey); };
  CollectInto(aKeys, aLimit, find, [&](const Departure& aDeparture) {
    departures.entries_.push_back(aDeparture);
    return kDepartureBytes;
  });
  return departures;
}

const VersionIndex&
IndexOf(const FleetState& aState, PeerSection aSection)
{
  switch (aSection) {
    case PeerSection::Configs:
      return aState.Configs().Index();
    case PeerSection::Processes:
      return aState.Processes().Index();
    case PeerSection::Departures:
      break;
  }
  return aState.Departing().Index();
}

} // namespace boragepier
