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

/// Largest body of a configuration. A larger one might not fit into one peer message.
inline constexpr std::size_t kMaxConfigBodyBytes = std::size_t{ 32 } * 1024;

/// Parses the body of a configuration, for example ParseServiceFile(). Throws an exception derived
/// from Error if the body is invalid.
using ConfigParser = std::function<ServiceConfig(std::string_view aText, std::string_view aName)>;

/// Thrown for a configuration that cannot be activated. The last valid version stays active.
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

/// The accepted and the active configuration of each service. A version is never replaced by an
/// older one. The accepted version is the newest one received; the active version is the newest one
/// that was valid and is used to route requests.
class ConfigRegistry
{
public:
  /// Configuration of one service.
  struct Entry
  {
    ConfigRecord record_;                       ///< highest version accepted; relayed to peers
    std::optional<ServiceConfig> activeConfig_; ///< last valid version
    std::uint64_t activeVersion_ = 0;           ///< version of activeConfig_; 0 if there is none
    std::string rejectionReason_;               ///< why record_ is not active; empty if it is
  };
  using Entries = std::map<ServiceName, Entry>;

  explicit ConfigRegistry(ConfigParser aParser);

  /// Accepts a record if its version is higher than the accepted one. An invalid body is accepted
  /// as well, so that it is relayed and not fetched again, but the last valid version stays active.
  /// @return whether the record was accepted
  /// @throws ConfigRejected if the record was accepted but is invalid; also, without accepting it,
  ///   if it has no service name or its body exceeds kMaxConfigBodyBytes
  bool Accept(ConfigRecord aRecord);

  /// @return the accepted version of a service, 0 if there is none
  std::uint64_t AcceptedVersion(const ServiceName& aService) const;
  /// @return the accepted record of a service, or nullptr
  const ConfigRecord* Find(std::string_view aService) const;
  const Entries& All() const { return entries_; }
  /// @return whether at least one service has an active configuration
  bool HasActiveConfig() const { return activeCount_ > 0; }
  /// @return the accepted versions, for comparison with peers
  const VersionIndex& Versions() const { return versions_; }

private:
  ConfigParser parser_;
  Entries entries_;
  std::size_t activeCount_ = 0;
  VersionIndex versions_;
};

} // namespace boragepier

#endif
