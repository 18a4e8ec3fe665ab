#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_BLOCKING_CALLS_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_BLOCKING_CALLS_H

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "apps/boragepierctl/ctl_options.h"
#include "boragepier/http/client.h"
#include "boragepier/state/publish_transaction.h"

namespace boragepier::ctl {

/// Admin address of an instance.
struct AdminTarget
{
  Endpoint endpoint_;
  std::string name_; ///< for output: instance id on the platform's list, or the address
  std::string zone_; ///< availability zone; empty if unknown
};

/// Response of one instance to an admin request.
struct AdminResponse
{
  AdminTarget target_;
  int status_ = 0;          ///< HTTP status; 0 without a response
  std::string bodyOrError_; ///< body of the response, or why there is none
};

/// Sends a request to several instances in parallel. Blocks until each has responded, failed or
/// timed out.
/// @return the responses in the order of the targets
std::vector<AdminResponse>
SendToInstances(std::span<const AdminTarget> aTargets,
                const http::Request& aRequest,
                Duration aTimeout);

/// Client for the platform's table and instance list. Each call blocks until it is complete or the
/// timeout has passed.
class BlockingPlatformClient
{
public:
  /// @param aTimeout for each call
  BlockingPlatformClient(Endpoint aEndpoint, Duration aTimeout);

  /// @return the configuration records of services in the given order; nothing for a service
  /// without a record
  /// @throws PlatformUnavailableError
  std::vector<std::optional<ConfigRecord>> ReadRecords(std::span<const ServiceName> aServices);
  /// Publishes all changes in one transaction. The deadline of the request is replaced by the
  /// timeout.
  /// @throws PublishRequestError if the request is invalid
  PublishResult Publish(PublishRequest aRequest);
  /// @param aAdminPort admin port of instances that are listed without one; 0 leaves these out
  /// @return the listed entry instances that are not leaving
  /// @throws PlatformUnavailableError
  std::vector<AdminTarget> ListAdminTargets(std::uint16_t aAdminPort);

private:
  Endpoint endpoint_;
  Duration timeout_;
};

/// @return the instances given with --instance, or else those on the platform's list
/// @throws UsageError if neither --instance nor --platform is given
/// @throws PlatformUnavailableError
std::vector<AdminTarget>
ResolveAdminTargets(const CtlOptions& aOptions);

} // namespace boragepier::ctl

#endif
