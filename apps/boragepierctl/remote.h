#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_REMOTE_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_REMOTE_H

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "apps/boragepierctl/ctl_options.h"
#include "boragepier/http/client.h"
#include "boragepier/state/publish_transaction.h"

namespace boragepier::ctl {

/// An admin address and how it is shown.
struct AdminTarget
{
  Endpoint endpoint_;
  std::string name_; ///< id on the platform's list, or the address
  std::string zone_; ///< empty if unknown
};

/// Answer of one instance.
struct AdminAnswer
{
  AdminTarget target_;
  int status_ = 0;   ///< 0 without an answer
  std::string body_; ///< of the answer, or why there is none
};

/// Sends a request to several instances at once and waits for all answers or the timeout.
/// @return the answers in the order of the targets
std::vector<AdminAnswer>
AskInstances(std::span<const AdminTarget> aTargets,
             const http::Request& aRequest,
             Duration aTimeout);

/// The platform, seen from a command. Each call waits for its answer.
class Platform
{
public:
  Platform(Endpoint aEndpoint, Duration aTimeout);

  /// @return the records of services in the given order, nothing for services without one
  /// @throws PlatformUnavailableError
  std::vector<std::optional<ConfigRecord>> ReadRecords(std::span<const ServiceName> aServices);
  PublishResult Publish(PublishRequest aRequest);
  /// @return the entry instances on the list that have a known admin port and are not leaving
  /// @param aAdminPort port of those whose entry has none; 0 leaves them out
  /// @throws PlatformUnavailableError
  std::vector<AdminTarget> ListInstances(std::uint16_t aAdminPort);

private:
  Endpoint endpoint_;
  Duration timeout_;
};

/// @return the instances given by options, else those on the platform's list
/// @throws UsageError if neither is given, PlatformUnavailableError
std::vector<AdminTarget>
FindInstances(const CtlOptions& aOptions);

} // namespace boragepier::ctl

#endif
