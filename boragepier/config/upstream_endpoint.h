#ifndef BORAGEPIER_CONFIG_UPSTREAM_ENDPOINT_H
#define BORAGEPIER_CONFIG_UPSTREAM_ENDPOINT_H

#include <cstdint>
#include <string>

#include "boragepier/base/ids.h"
#include "boragepier/base/time.h"

namespace boragepier {

/// One upstream of a service: address, zone, capacity and state.
struct UpstreamEndpoint
{
  UpstreamId id_;
  std::string address_; ///< IP address
  std::uint16_t port_ = 0;
  ZoneName zone_;
  std::uint64_t startNumber_ = 0; ///< increases with every start of the upstream
  bool leaving_ = false;          ///< is draining and receives no new requests
  bool evacuated_ = false;        ///< its zone is evacuated: receives nothing meanwhile
  unsigned slots_ = 0;        ///< requests it executes concurrently; 0 means ServiceConfig::slots_
  MonotonicTime warmUpEnd_{}; ///< end of its warm-up, during which service times are longer

  friend bool operator==(const UpstreamEndpoint&, const UpstreamEndpoint&) = default;
};

} // namespace boragepier

#endif
