#ifndef BORAGEPIER_BASE_RANDOM_H
#define BORAGEPIER_BASE_RANDOM_H

#include <pcg_random.hpp>

namespace boragepier {

/// Random number generator of decision and state code. Always seeded by the owner, so that a run
/// can be repeated.
using Random = pcg64;

} // namespace boragepier

#endif
