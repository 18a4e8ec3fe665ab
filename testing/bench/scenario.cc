#include "testing/bench/scenario.h"

#include <array>

namespace boragepier::bench {

std::string_view
ToString(FaultKind aKind)
{
  constexpr std::array<std::string_view, kFaultKindCount> kNames = {
    "straggler",          "fail-fast", "cold-start",         "shedding",     "draining",
    "silent-connections", "zone-loss", "misleading-reports", "reports-stop",
  };
  return kNames.at(static_cast<std::size_t>(aKind));
}

double
Scenario::CapacityPerSecond() const
{
  double speed = 0;
  for (unsigned i = 0; i < upstreams_; ++i) {
    speed += UpstreamSpeed(i);
  }
  return speed * slots_ * 1000 / serviceTimeMs_;
}

} // namespace boragepier::bench
