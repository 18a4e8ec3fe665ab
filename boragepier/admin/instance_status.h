#ifndef BORAGEPIER_ADMIN_INSTANCE_STATUS_H
#define BORAGEPIER_ADMIN_INSTANCE_STATUS_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/base/errors.h"
#include "boragepier/base/ids.h"

namespace boragepier {

/// The text is not a valid instance status.
class InstanceStatusError : public Error
{
public:
  using Error::Error;
};

/// State of one service in an instance.
struct ServiceStatus
{
  ServiceName name_;
  std::uint64_t version_ = 0;          ///< of the active configuration
  std::uint64_t upstreams_ = 0;        ///< known upstreams, including leaving ones
  std::uint64_t leavingUpstreams_ = 0; ///< upstreams that receive no new requests
  /// Of these, those in evacuated availability zones.
  std::uint64_t evacuatedUpstreams_ = 0;
  std::uint64_t coldUpstreams_ = 0; ///< upstreams whose requests are limited because they are cold

  friend bool operator==(const ServiceStatus&, const ServiceStatus&) = default;
};

/// State of an instance, as returned by /status.
struct InstanceStatus
{
  InstanceId id_;
  ZoneName zone_;
  bool ready_ = false;
  std::string notReadyReason_; ///< empty if ready
  bool draining_ = false;
  std::uint64_t peers_ = 0;     ///< open streams to other instances
  std::uint64_t instances_ = 0; ///< live instances known to this one
  std::vector<ServiceStatus> services_;

  friend bool operator==(const InstanceStatus&, const InstanceStatus&) = default;
};

/// @return the status as a JSON object
std::string
EncodeInstanceStatus(const InstanceStatus& aStatus);
/// @throws InstanceStatusError if the text is not a JSON object with all members of a status
InstanceStatus
DecodeInstanceStatus(std::string_view aText);

} // namespace boragepier

#endif
