#ifndef BORAGEPIER_BASE_RANDOM_H
#define BORAGEPIER_BASE_RANDOM_H

#include <pcg_random.hpp>

namespace boragepier {

/// Pseudo-random number generator. The owner passes the seed, so that a run with the same seed
/// draws the same numbers.
using Random = pcg64;

} // namespace boragepier

#endif
