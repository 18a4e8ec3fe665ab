#include "boragepier/state/team_directory.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace boragepier {

std::uint64_t
TeamIdOf(const TeamName& aName)
{
  return std::max<std::uint64_t>(1, XXH3_64bits(aName.View().data(), aName.View().size()));
}

void
TeamDirectory::SetTeams(std::span<const TeamTerms> aTeams)
{
  auto teams = std::make_shared<TeamMap>();
  for (const TeamTerms& terms : aTeams) {
    const std::uint64_t id = TeamIdOf(terms.name_);
    teams->insert_or_assign(id, std::make_shared<const Team>(Team{ terms, id }));
  }
  teams_ = std::move(teams);
}

void
TeamDirectory::SetKey(const KeyDigest& aKey, const TeamName& aTeam)
{
  auto& current = shards_.at(ShardOf(aKey));
  auto shard = current ? std::make_shared<Shard>(*current) : std::make_shared<Shard>();
  shard->insert_or_assign(aKey, aTeam.Empty() ? 0 : TeamIdOf(aTeam));
  current = std::move(shard);
}

void
TeamDirectory::RemoveKey(const KeyDigest& aKey)
{
  auto& current = shards_.at(ShardOf(aKey));
  if (current && current->contains(aKey)) {
    auto shard = std::make_shared<Shard>(*current);
    shard->erase(aKey);
    current = std::move(shard);
  }
}

TeamDirectory::TeamPointer
TeamDirectory::Find(const KeyDigest& aKey) const
{
  const auto& shard = shards_.at(ShardOf(aKey));
  if (!shard) {
    return nullptr;
  }
  const auto key = shard->find(aKey);
  if (key == shard->end()) {
    return nullptr;
  }
  const auto team = teams_->find(key->second);
  return team == teams_->end() ? nullptr : team->second;
}

} // namespace boragepier
