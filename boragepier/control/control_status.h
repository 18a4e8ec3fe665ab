#ifndef BORAGEPIER_CONTROL_CONTROL_STATUS_H
#define BORAGEPIER_CONTROL_CONTROL_STATUS_H

#include <cstdint>
#include <string>
#include <vector>

#include "boragepier/ports/peer_transport.h"

namespace boragepier {

/// State and counters of a ControlPlane, for the admin server.
struct ControlStatus
{
  /// Configuration of one service.
  struct Service
  {
    ServiceName name_;
    std::uint64_t version_ = 0;       ///< highest version accepted
    std::uint64_t activeVersion_ = 0; ///< 0 if none; below version_ if that was rejected
    std::string error_;               ///< why version_ was rejected, or empty
  };
  std::vector<Service> services_;
  std::vector<PeerEndpoint> peers_;   ///< instances to which messages are sent
  std::vector<InstanceId> members_;   ///< live instances, this one included
  std::vector<Departure> departures_; ///< upstreams that are leaving or have exited
  std::uint64_t round_ = 0;
  std::uint64_t configSerial_ = 0;  ///< all changes of the store up to this one are held
  std::size_t listedProcesses_ = 0; ///< entries of the platform's list

  std::uint64_t storeReads_ = 0;    ///< requests to the table
  std::uint64_t storeFailures_ = 0; ///< requests to the table without an answer
  std::uint64_t listReads_ = 0;
  std::uint64_t listFailures_ = 0;
  std::uint64_t rejectedConfigs_ = 0; ///< configurations that could not be activated
  std::uint64_t messagesDropped_ = 0; ///< because of limits on rate or queue length
  PeerCounters peerCounters_;
};

} // namespace boragepier

#endif
