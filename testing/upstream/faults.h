#ifndef BORAGEPIER_TESTING_UPSTREAM_FAULTS_H
#define BORAGEPIER_TESTING_UPSTREAM_FAULTS_H

#include <cstddef>
#include <limits>
#include <string_view>

#include "boragepier/base/errors.h"
#include "boragepier/base/time.h"

namespace boragepier::testing {

/// The body of a request to /control/mode is not understood.
class InvalidMode : public Error
{
public:
  using Error::Error;
};

/// How an upstream misbehaves. Faults can be combined.
struct Faults
{
  bool draining_ = false;
  MonotonicTime refuseFrom_{}; ///< while draining: later requests are refused
  MonotonicTime coldUntil_{};  ///< until then service times are multiplied
  double coldFactor_ = 1;
  double straggleFactor_ = 1;                                       ///< multiplies service times
  std::size_t shedAbove_ = std::numeric_limits<std::size_t>::max(); ///< queue length
  bool failFast_ = false;                                           ///< answers 500 at once
  bool silentAfterRun_ = false;                                     ///< runs and never answers
  bool truncate_ = false;                                           ///< cuts answers off
  bool misreport_ = false;                                          ///< reports no load
  bool noReport_ = false;                                           ///< sends no load report
  bool silenceExisting_ = false; ///< existing connections stop answering; an event, not a state
};

/// Applies a mode given as JSON: {"mode": NAME, "add": BOOL, ...}. "add" keeps the other faults.
/// Names and parameters: normal, drain (forMs 500: time before requests are refused), cold-start
/// (forMs 2000, factor 10), shed (limit 4), straggle (factor 10), fail-fast, silent,
/// silent-after-run, truncate, misreport, no-report.
/// @return the new faults
/// @throws InvalidMode
Faults
ApplyMode(const Faults& aFaults, std::string_view aJson, MonotonicTime aNow);

} // namespace boragepier::testing

#endif
