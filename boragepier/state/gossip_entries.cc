#include "boragepier/state/gossip_entries.h"

namespace boragepier {

namespace {

// Estimated sizes of encoded entries, to limit the size of a message. The codec enforces the
// maximum.
constexpr std::size_t kConfigOverheadBytes = 64;
constexpr std::size_t kProcessBytes = 128;
constexpr std::size_t kDepartureBytes = 40;

// Appends the entries of aKeys until the estimated size reaches aLimit, and removes their keys from
// aKeys.
template<typename Find, typename Append>
void
AppendEntries(std::span<const std::string>& aKeys, std::size_t aLimit, Find aFind, Append aAppend)
{
  for (std::size_t bytes = 0; !aKeys.empty() && bytes < aLimit; aKeys = aKeys.subspan(1)) {
    if (const auto* entry = aFind(aKeys.front()); entry != nullptr) {
      bytes += aAppend(*entry);
    }
  }
}

} // namespace

PeerMessage
BuildEntriesMessage(const FleetState& aState,
                    PeerSection aSection,
                    std::span<const std::string>& aKeys,
                    std::size_t aLimit)
{
  if (aSection == PeerSection::Configs) {
    PeerConfigs configs;
    const auto find = [&](const std::string& aKey) { return aState.Configs().Find(aKey); };
    AppendEntries(aKeys, aLimit, find, [&](const ConfigRecord& aRecord) {
      configs.records_.push_back(aRecord);
      return aRecord.body_.size() + kConfigOverheadBytes;
    });
    return configs;
  }
  if (aSection == PeerSection::Processes) {
    PeerProcesses processes;
    const auto find = [&](const std::string& aKey) { return aState.Processes().Find(aKey); };
    AppendEntries(aKeys, aLimit, find, [&](const ProcessEntry& aEntry) {
      processes.entries_.push_back(aEntry);
      return kProcessBytes;
    });
    return processes;
  }
  PeerDepartures departures{ aState.Round(), {} };
  const auto find = [&](const std::string& aKey) { return aState.UpstreamDepartures().Find(aKey); };
  AppendEntries(aKeys, aLimit, find, [&](const Departure& aDeparture) {
    departures.entries_.push_back(aDeparture);
    return kDepartureBytes;
  });
  return departures;
}

const VersionIndex&
SectionVersions(const FleetState& aState, PeerSection aSection)
{
  switch (aSection) {
    case PeerSection::Configs:
      return aState.Configs().Versions();
    case PeerSection::Processes:
      return aState.Processes().Versions();
    case PeerSection::Departures:
      break;
  }
  return aState.UpstreamDepartures().Versions();
}

} // namespace boragepier
