#ifndef BORAGEPIER_CONFIG_TEAM_CONFIG_H
#define BORAGEPIER_CONFIG_TEAM_CONFIG_H

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "boragepier/base/ids.h"

namespace boragepier {

/// One-way hash of a caller's key. Keys are kept only in this form.
using KeyDigest = std::array<std::uint8_t, 16>;

/// What applies to all callers of a team together.
struct TeamTerms
{
  TeamName name_;
  /// Takes precedence over RouteConfig::priority_; 0 is the most urgent.
  std::optional<unsigned> priority_;
  double ratePerSecond_ = 0; ///< requests per second in all instances together; 0 for no limit
  double burst_ = 0;         ///< requests that may exceed the rate

  friend bool operator==(const TeamTerms&, const TeamTerms&) = default;
};

/// A team: its callers identify themselves by one of its keys.
struct TeamConfig
{
  TeamTerms terms_;
  std::vector<KeyDigest> keys_;
};

} // namespace boragepier

#endif
