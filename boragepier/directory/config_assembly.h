#ifndef BORAGEPIER_DIRECTORY_CONFIG_ASSEMBLY_H
#define BORAGEPIER_DIRECTORY_CONFIG_ASSEMBLY_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "boragepier/config/route_set.h"
#include "boragepier/directory/config_parts.h"
#include "boragepier/state/team_directory.h"

namespace boragepier {

/// Puts the parts of a configuration together again. Changes of parts are applied one by one and
/// take effect together. Reads no clock and does no I/O.
///
///   assembly.Apply(row);   // for each part that changed
///   if (assembly.Activate() == ConfigAssembly::Result::Activated) { Use(*assembly.Active()); }
class ConfigAssembly
{
public:
  /// A configuration in force. Shares with its predecessor what did not change.
  struct Config
  {
    std::uint64_t version_ = 0;
    std::shared_ptr<const RouteSet> routes_;
    std::shared_ptr<const std::vector<ServiceConfig>> services_;
    CallerLimits limits_;
    bool keysRequired_ = false;
    std::shared_ptr<const TeamDirectory> teams_;
  };

  enum class Result : std::uint8_t
  {
    Unchanged,
    Activated,
    Outdated,   ///< the version is lower than that of the active configuration of the same era,
                ///< which stays
    Incomplete, ///< a part is unreadable, or there is no summary; the active configuration stays
  };

  /// Applies a part that was added, changed or removed.
  /// @throws ConfigPartError if it cannot be decoded; nothing is activated until it is replaced
  void Apply(const FeedRow& aRow);

  /// Puts the parts applied so far into force. To be called when they belong to one version.
  /// @param aEra era of the store from which the parts are; never decreases
  Result Activate(std::uint64_t aEra);

  /// @return the configuration in force, or null before the first
  const std::shared_ptr<const Config>& Active() const { return active_; }
  /// @return version of the parts applied so far; 0 without a summary
  std::uint64_t AppliedVersion() const { return summary_ ? summary_->version_ : 0; }

private:
  void Remove(const std::string& aKey);
  void Set(const std::string& aKey, RouteConfig aRoute);
  void Set(const std::string& aKey, ServiceConfig aService);
  void Set(const std::string& aKey, const ConfigSummary& aSummary);
  void Set(const std::string& aKey, const TeamTerms& aTerms);
  void Set(const std::string& aKey, const TeamKey& aTeamKey);

  std::shared_ptr<const Config> active_;
  std::uint64_t activeEra_ = 0; ///< of the store from which the active configuration is
  // The parts applied so far.
  RouteSet routes_;
  std::map<std::string, RouteSet::RoutePointer> routesByKey_;
  std::map<std::string, ServiceConfig> services_;
  TeamDirectory teams_;
  std::map<std::string, TeamTerms> teamTerms_;     ///< by the keys of their parts
  std::map<std::string, KeyDigest> teamKeysByKey_; ///< by the keys of their parts
  std::optional<ConfigSummary> summary_;
  std::set<std::string> unreadable_; ///< keys of parts that could not be decoded
  bool routesChanged_ = true;        ///< since the last activation
  bool servicesChanged_ = true;      ///< since the last activation
  bool teamTermsChanged_ = true;     ///< since the last activation
  bool teamKeysChanged_ = true;      ///< since the last activation
};

} // namespace boragepier

#endif
