#include "boragepier/state/team_directory.h"

#include <algorithm>

#include <xxhash.h>

namespace boragepier {

std::uint64_t
TeamIdOf(const TeamName& aName)
{
  return std::max<std::uint64_t>(1, XXH3_64bits(aName.View().data(), aName.View().size()));
}

TeamDirectory::TeamDirectory(std::span<const TeamConfig> aTeams)
{
  teams_.reserve(aTeams.size());
  for (const TeamConfig& config : aTeams) {
    const auto team = std::make_shared<const Team>(Team{ config, TeamIdOf(config.name_) });
    teams_.push_back(team);
    for (const KeyDigest& key : config.keys_) {
      if (const auto [found, inserted] = byKey_.emplace(key, team);
          !inserted && found->second != team) {
        found->second = nullptr;
      }
    }
  }
}

std::shared_ptr<const Team>
TeamDirectory::Find(std::string_view aKey) const
{
  const auto found = byKey_.find(DigestOfKey(aKey));
  return found == byKey_.end() ? nullptr : found->second;
}

} // namespace boragepier
