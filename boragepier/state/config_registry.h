#ifndef BORAGEPIER_STATE_CONFIG_REGISTRY_H
#define BORAGEPIER_STATE_CONFIG_REGISTRY_H

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/base/errors.h"
#include "boragepier/config/service_config.h"
#include "boragepier/state/config_record.h"
#include "boragepier/state/version_index.h"

namespace boragepier {

/// Largest body of a configuration in bytes; a larger one could not be relayed in one message.
inline constexpr std::size_t kMaxConfigBody = std::size_t{ 32 } * 1024;

/// Parses the body of a configuration. ParseServiceFile is one.
/// Throws a type derived from Error for an invalid body.
using ConfigParser = std::function<ServiceConfig(std::string_view aText, std::string_view aName)>;

/// A configuration that cannot be put in force. The last good one stays.
class ConfigRejected : public Error
{
public:
  ConfigRejected(const ConfigRecord& aRecord, const std::string& aReason);

  const ServiceName& Service() const { return service_; }
  std::uint64_t Version() const { return version_; }

private:
  ServiceName service_;
  std::uint64_t version_;
};

/// Accepted configuration of each service. A version is never replaced by an older one.
class ConfigRegistry
{
public:
  /// What is known of one service.
  struct Entry
  {
    ConfigRecord record_;                  ///< highest version accepted; relayed to peers
    std::optional<ServiceConfig> inForce_; ///< last version that could be parsed
    std::uint64_t inForceVersion_ = 0;
    std::string error_; ///< why record_ is not in force, empty if it is
  };
  using Entries = std::map<ServiceName, Entry>;

  explicit ConfigRegistry(ConfigParser aParser);

  /// Accepts a record whose version is higher than the one held. A record that does not parse is
  /// kept too, so that it is relayed and not fetched again, but the last good one stays in force.
  /// @return whether the record was new
  /// @throws ConfigRejected if the record was new and cannot be put in force
  bool Accept(ConfigRecord aRecord);

  /// @return the highest version accepted of a service, 0 if there is none
  std::uint64_t VersionOf(const ServiceName& aService) const;
  /// @return the record of a service, or null
  const ConfigRecord* Find(std::string_view aService) const;
  const Entries& All() const { return entries_; }
  /// @return whether at least one service has a configuration in force
  bool HasConfig() const { return inForceCount_ > 0; }
  const VersionIndex& Index() const { return index_; }

private:
  ConfigParser parser_;
  Entries entries_;
  std::size_t inForceCount_ = 0;
  VersionIndex index_;
};

} // namespace boragepier

#endif
