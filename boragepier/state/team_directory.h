#ifndef BORAGEPIER_STATE_TEAM_DIRECTORY_H
#define BORAGEPIER_STATE_TEAM_DIRECTORY_H

#include <cstddef>
#include <cstring>
#include <memory>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "boragepier/config/caller_key.h"
#include "boragepier/config/team_config.h"

namespace boragepier {

/// A team of the configuration in force.
struct Team
{
  TeamConfig config_;
  std::uint64_t id_ = 0; ///< hash of the name, not 0; the same in all instances and versions
};

/// Finds the team of a key. Not changed after it has been built.
class TeamDirectory
{
public:
  TeamDirectory() = default;
  /// @param aTeams teams with distinct names. A key that several of them have belongs to none.
  explicit TeamDirectory(std::span<const TeamConfig> aTeams);

  /// Finds the team of a caller. Takes the same time for all keys of one length.
  /// @param aKey key as the caller sends it
  /// @return the team, or null if the key is unknown
  std::shared_ptr<const Team> Find(std::string_view aKey) const;
  /// @return all teams
  std::span<const std::shared_ptr<const Team>> Teams() const { return teams_; }

private:
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

  std::vector<std::shared_ptr<const Team>> teams_;
  /// Null for a key of several teams.
  std::unordered_map<KeyDigest, std::shared_ptr<const Team>, DigestHash, DigestEqual> byKey_;
};

/// @return the id of a team with this name, not 0
std::uint64_t
TeamIdOf(const TeamName& aName);

} // namespace boragepier

#endif
