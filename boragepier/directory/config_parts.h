#ifndef BORAGEPIER_DIRECTORY_CONFIG_PARTS_H
#define BORAGEPIER_DIRECTORY_CONFIG_PARTS_H

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "boragepier/base/errors.h"
#include "boragepier/ports/directory_feed.h"

namespace boragepier {

// The store holds the configuration as one row. Whoever reads it divides it into parts, each a row
// of its own: one for each route, service, team and key of a team, and a summary. Instances keep
// and relay the parts, so a new version costs them what it changes, however large the configuration
// is.
//
// Each position of the store corresponds to a range of positions of the parts. A part has a fixed
// place in it, which follows from its key, so a version of any size can be sent in several
// messages. The summary has the last place. It states the digest of the other parts: a receiver
// that lacks a change, or has one too many, finds that out before it applies anything.

/// Part of a configuration that applies to all routes and services.
struct ConfigSummary
{
  std::uint64_t version_ = 0; ///< FleetConfig::version_
  CallerLimits limits_;
  bool keysRequired_ = false; ///< FleetConfig::keysRequired_
  std::uint64_t digest_ = 0;  ///< sum of DigestOfPart() of the other parts
};

/// Key of the summary.
inline constexpr std::string_view kConfigSummaryKey = "summary";

/// The team to which a key leads.
struct TeamKey
{
  KeyDigest key_{};
  TeamName team_; ///< empty if several teams have the key, which then leads to none
};

using ConfigPart = std::variant<RouteConfig, ServiceConfig, ConfigSummary, TeamTerms, TeamKey>;

/// A part that cannot be decoded.
class ConfigPartError : public Error
{
public:
  using Error::Error;
};

/// @return last position of the parts that corresponds to a position of the store
std::uint64_t
ToPartPosition(std::uint64_t aStorePosition);
/// @return position of the store up to which everything is known at a position of the parts
std::uint64_t
ToStorePosition(std::uint64_t aPartPosition);

/// Divides a configuration into parts.
/// @param aStorePosition position of the store at which it was read
/// @return the rows of the parts; of several routes with the same host and prefix only the first
std::vector<FeedRow>
DivideConfig(const FleetConfig& aConfig, std::uint64_t aStorePosition);

/// @throws ConfigPartError if the row was not made by DivideConfig()
ConfigPart
DecodeConfigPart(const FeedRow& aRow);

/// @return contribution of a part to the digest; 0 for a removed one
std::uint64_t
DigestOfPart(const FeedRow& aRow);

} // namespace boragepier

#endif
