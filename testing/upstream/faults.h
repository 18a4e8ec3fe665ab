#ifndef BORAGEPIER_TESTING_UPSTREAM_FAULTS_H
#define BORAGEPIER_TESTING_UPSTREAM_FAULTS_H

#include <cstddef>
#include <limits>
#include <string>
#include <string_view>

#include "boragepier/base/errors.h"
#include "boragepier/base/time.h"

namespace boragepier::testing {

/// The body of a request to /control/mode is invalid.
class InvalidMode : public Error
{
public:
  using Error::Error;
};

/// Faults that an upstream simulates. They can be combined.
struct Faults
{
  bool draining_ = false;
  MonotonicTime refuseRequestsFrom_{}; ///< while draining, requests from this time on are refused
  MonotonicTime coldStartEnd_{}; ///< until then, service times are multiplied by coldStartFactor_
  double coldStartFactor_ = 1;
  double slowdownFactor_ = 1; ///< multiplies service times
  /// Requests are refused while all slots are busy and the queue has at least this length.
  std::size_t shedQueueLength_ = std::numeric_limits<std::size_t>::max();
  std::string retryAfter_;         ///< if set, all requests are refused with this Retry-After
  bool failFast_ = false;          ///< responds with status 500 without running the request
  bool silentAfterRun_ = false;    ///< runs requests and never responds
  bool truncateResponses_ = false; ///< omits the last byte of each response
  bool reportZeroLoad_ = false;    ///< always reports 0 requests in flight
  bool omitLoadReport_ = false;    ///< omits the load report
  /// Connections that are open now stop responding. Reset once it has been applied.
  bool silenceOpenConnections_ = false;
};

/// Applies a mode given as JSON: {"mode": NAME, "add": BOOL, ...}. With "add", the faults in
/// aFaults stay in effect; otherwise the mode replaces them. Modes and parameters with their
/// defaults: normal, drain (forMs 500: time before requests are refused), cold-start (forMs 2000,
/// factor 10), shed (limit 4), pause (retryAfter "1"),
/// straggle (factor 10), fail-fast, silent, silent-after-run, truncate,
/// misreport, no-report.
/// @return the new faults
/// @throws InvalidMode if the JSON is malformed or the mode is unknown
Faults
ApplyMode(const Faults& aFaults, std::string_view aJson, MonotonicTime aNow);

} // namespace boragepier::testing

#endif
