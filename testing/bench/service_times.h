#ifndef TESTING_BENCH_SERVICE_TIMES_H
#define TESTING_BENCH_SERVICE_TIMES_H

#include "boragepier/base/random.h"
#include "testing/bench/scenario.h"

namespace boragepier::bench {

/// @return a uniformly distributed number in (0, 1]; equal generator states give equal numbers on
///   every platform, which the standard distributions do not guarantee
double
UniformPositive(Random& aRandom);

/// @param aMean mean of the distribution
/// @return an exponentially distributed number
double
DrawExponential(Random& aRandom, double aMean);

/// @return the service time of one call, in ms, at an upstream of speed 1
double
DrawServiceTimeMs(Random& aRandom, ServiceTimeDistribution aKind, double aMeanMs);

} // namespace boragepier::bench

#endif
