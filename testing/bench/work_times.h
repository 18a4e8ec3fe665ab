#ifndef TESTING_BENCH_WORK_TIMES_H
#define TESTING_BENCH_WORK_TIMES_H

#include "boragepier/base/random.h"
#include "testing/bench/scenario.h"

namespace boragepier::bench {

/// @return a number in (0, 1], the same on every machine for the same state of the generator
double
UniformOpen(Random& aRandom);

/// @param aMean mean of the distribution
/// @return an exponentially distributed number
double
Exponential(Random& aRandom, double aMean);

/// @return the work of one call in ms
double
DrawWork(Random& aRandom, WorkKind aKind, double aMeanMs);

} // namespace boragepier::bench

#endif
