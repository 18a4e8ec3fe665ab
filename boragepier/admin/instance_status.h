#ifndef BORAGEPIER_ADMIN_INSTANCE_STATUS_H
#define BORAGEPIER_ADMIN_INSTANCE_STATUS_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/base/errors.h"
#include "boragepier/base/ids.h"

namespace boragepier {

/// Text that is not an instance status.
class StatusError : public Error
{
public:
  using Error::Error;
};

/// One service as it is in force in an instance.
struct ServiceStatus
{
  ServiceName name_;
  std::uint64_t version_ = 0;
  std::uint64_t upstreams_ = 0;
  std::uint64_t leavingUpstreams_ = 0;

  friend bool operator==(const ServiceStatus&, const ServiceStatus&) = default;
};

/// State of an instance, as /status returns it.
struct InstanceStatus
{
  InstanceId id_;
  ZoneName zone_;
  bool ready_ = false;
  std::string notReadyReason_; ///< empty if ready
  bool draining_ = false;
  std::uint64_t peers_ = 0;     ///< open streams to other instances
  std::uint64_t instances_ = 0; ///< live instances as this one sees them
  std::vector<ServiceStatus> services_;

  friend bool operator==(const InstanceStatus&, const InstanceStatus&) = default;
};

/// @return the status as a JSON object
std::string
EncodeStatus(const InstanceStatus& aStatus);
/// @throws StatusError if the text is not a status
InstanceStatus
DecodeStatus(std::string_view aText);

} // namespace boragepier

#endif
