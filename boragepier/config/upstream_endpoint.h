#ifndef BORAGEPIER_CONFIG_UPSTREAM_ENDPOINT_H
#define BORAGEPIER_CONFIG_UPSTREAM_ENDPOINT_H

#include <cstdint>
#include <string>

#include "boragepier/base/ids.h"
#include "boragepier/base/time.h"

namespace boragepier {

/// One upstream as known from the routing snapshot.
struct UpstreamEndpoint
{
  UpstreamId id_;
  std::string address_; ///< IP address
  std::uint16_t port_ = 0;
  ZoneName zone_;
  std::uint64_t startNumber_ = 0; ///< rises with every start of the upstream
  bool leaving_ = false;          ///< receives no new work
  unsigned slots_ = 0;            ///< requests that it runs at a time; 0 for those of the service
  MonotonicTime warmAt_{};        ///< until then it is slow after its start

  friend bool operator==(const UpstreamEndpoint&, const UpstreamEndpoint&) = default;
};

} // namespace boragepier

#endif
