#ifndef BORAGEPIER_STATE_TEAM_DIRECTORY_H
#define BORAGEPIER_STATE_TEAM_DIRECTORY_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <map>
#include <memory>
#include <span>
#include <unordered_map>

#include "boragepier/config/caller_key.h"
#include "boragepier/config/team_config.h"

namespace boragepier {

/// A team of the configuration in force.
struct Team
{
  TeamTerms terms_;
  std::uint64_t id_ = 0; ///< TeamIdOf() its name
};

/// @return the id of a team with this name: not 0, and the same in all instances and versions
std::uint64_t
TeamIdOf(const TeamName& aName);

/// Finds the team of a key. A copy shares its contents with the original, and the change of a key
/// replaces a part of them, so its cost does not grow with the number of keys.
class TeamDirectory
{
public:
  using TeamPointer = std::shared_ptr<const Team>;

  /// Replaces all teams. Keys of teams that are missing then lead to none.
  void SetTeams(std::span<const TeamTerms> aTeams);
  /// Sets the team to which a key leads.
  /// @param aTeam name of the team, which may be added later; empty if the key leads to none
  void SetKey(const KeyDigest& aKey, const TeamName& aTeam);
  void RemoveKey(const KeyDigest& aKey);

  /// Finds the team of a caller. The time does not depend on the digests that are known.
  /// @return the team, or null if the key leads to none
  TeamPointer Find(const KeyDigest& aKey) const;
  /// @return all teams by their ids
  const std::map<std::uint64_t, TeamPointer>& Teams() const { return *teams_; }

private:
  static constexpr std::size_t kShardCount = 256;

  /// Digests are uniformly distributed, so a part of one is its hash.
  struct DigestHash
  {
    std::size_t operator()(const KeyDigest& aDigest) const
    {
      std::size_t hash = 0;
      std::memcpy(&hash, aDigest.data(), sizeof(hash));
      return hash;
    }
  };
  struct DigestEqual
  {
    bool operator()(const KeyDigest& aLeft, const KeyDigest& aRight) const
    {
      return IsSameKey(aLeft, aRight);
    }
  };
  /// Ids of teams by the digests of their keys.
  using Shard = std::unordered_map<KeyDigest, std::uint64_t, DigestHash, DigestEqual>;
  using TeamMap = std::map<std::uint64_t, TeamPointer>;

  static std::size_t ShardOf(const KeyDigest& aKey) { return aKey.back() % kShardCount; }

  std::shared_ptr<const TeamMap> teams_ = std::make_shared<const TeamMap>();
  std::array<std::shared_ptr<const Shard>, kShardCount> shards_;
};

} // namespace boragepier

#endif
