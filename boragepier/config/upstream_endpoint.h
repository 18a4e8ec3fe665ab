#ifndef BORAGEPIER_CONFIG_UPSTREAM_ENDPOINT_H
#define BORAGEPIER_CONFIG_UPSTREAM_ENDPOINT_H

#include <cstdint>
#include <string>

#include "boragepier/base/ids.h"

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

  friend bool operator==(const UpstreamEndpoint&, const UpstreamEndpoint&) = default;
};

} // namespace boragepier

#endif
