#ifndef BORAGEPIER_CONTROL_CONTROL_STATUS_H
#define BORAGEPIER_CONTROL_CONTROL_STATUS_H

#include <cstdint>
#include <string>
#include <vector>

#include "boragepier/ports/peer_transport.h"

namespace boragepier {

/// State and counters of a control plane, for the admin surface.
struct ControlStatus
{
  /// One service.
  struct Service
  {
    ServiceName name_;
    std::uint64_t version_ = 0;       ///< highest version accepted
    std::uint64_t activeVersion_ = 0; ///< differs if version_ does not parse; 0 if none is
    std::string error_;               ///< why version_ is not in force, or empty
  };
  std::vector<Service> services_;
  std::vector<PeerEndpoint> peers_;   ///< instances that messages are sent to
  std::vector<InstanceId> members_;   ///< live instances, this one included
  std::vector<Departure> departures_; ///< upstreams known as leaving
  std::uint64_t round_ = 0;
  std::uint64_t configSerial_ = 0; ///< changes of the store up to this serial are held
  std::size_t processes_ = 0;      ///< entries of the platform's list

  std::uint64_t storeReads_ = 0;    ///< requests to the table
  std::uint64_t storeFailures_ = 0; ///< without an answer
  std::uint64_t listReads_ = 0;
  std::uint64_t listFailures_ = 0;
  std::uint64_t rejectedConfigs_ = 0; ///< records and rows that could not be put in force
  std::uint64_t messagesDropped_ = 0; ///< by the limits on bytes and queue length
  PeerCounters traffic_;
};

} // namespace boragepier

#endif
