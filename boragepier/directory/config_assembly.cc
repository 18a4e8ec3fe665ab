#include "boragepier/directory/config_assembly.h"

#include <utility>

namespace boragepier {

void
ConfigAssembly::Apply(const FeedRow& aRow)
{
  if (aRow.removed_) {
    Remove(aRow.key_);
    return;
  }
  unreadable_.insert(aRow.key_);
  ConfigPart part = DecodeConfigPart(aRow);
  unreadable_.erase(aRow.key_);
  std::visit([&](auto& aPart) { Set(aRow.key_, std::move(aPart)); }, part);
}

void
ConfigAssembly::Remove(const std::string& aKey)
{
  unreadable_.erase(aKey);
  if (const auto route = routesByKey_.find(aKey); route != routesByKey_.end()) {
    routes_.Remove(route->second->host_, route->second->pathPrefix_);
    routesByKey_.erase(route);
    routesChanged_ = true;
  }
  servicesChanged_ = services_.erase(aKey) > 0 || servicesChanged_;
  teamTermsChanged_ = teamTerms_.erase(aKey) > 0 || teamTermsChanged_;
  if (const auto teamKey = teamKeysByKey_.find(aKey); teamKey != teamKeysByKey_.end()) {
    teams_.RemoveKey(teamKey->second);
    teamKeysByKey_.erase(teamKey);
    teamKeysChanged_ = true;
  }
  if (aKey == kConfigSummaryKey) {
    summary_.reset();
  }
}

void
ConfigAssembly::Set(const std::string& aKey, RouteConfig aRoute)
{
  const auto route = std::make_shared<const RouteConfig>(std::move(aRoute));
  routes_.Set(route);
  routesByKey_[aKey] = route;
  routesChanged_ = true;
}

void
ConfigAssembly::Set(const std::string& aKey, ServiceConfig aService)
{
  services_.insert_or_assign(aKey, std::move(aService));
  servicesChanged_ = true;
}

void
ConfigAssembly::Set(const std::string&, const ConfigSummary& aSummary)
{
  summary_ = aSummary;
}

void
ConfigAssembly::Set(const std::string& aKey, const TeamTerms& aTerms)
{
  teamTerms_.insert_or_assign(aKey, aTerms);
  teamTermsChanged_ = true;
}

void
ConfigAssembly::Set(const std::string& aKey, const TeamKey& aTeamKey)
{
  teams_.SetKey(aTeamKey.key_, aTeamKey.team_);
  teamKeysByKey_[aKey] = aTeamKey.key_;
  teamKeysChanged_ = true;
}

ConfigAssembly::Result
ConfigAssembly::Activate(std::uint64_t aEra)
{
  if (!summary_ || !unreadable_.empty()) {
    return Result::Incomplete;
  }
  // A version may be lower in a newer era, or the same with another content.
  if (std::exchange(activeEra_, aEra) == aEra && active_ &&
      summary_->version_ <= active_->version_) {
    return summary_->version_ == active_->version_ ? Result::Unchanged : Result::Outdated;
  }
  auto config = std::make_shared<Config>();
  config->version_ = summary_->version_;
  config->limits_ = summary_->limits_;
  if (std::exchange(routesChanged_, false)) {
    config->routes_ = std::make_shared<const RouteSet>(routes_);
  } else {
    config->routes_ = active_->routes_;
  }
  if (std::exchange(servicesChanged_, false)) {
    auto services = std::make_shared<std::vector<ServiceConfig>>();
    for (const auto& [key, service] : services_) {
      services->push_back(service);
    }
    config->services_ = std::move(services);
  } else {
    config->services_ = active_->services_;
  }
  config->keysRequired_ = summary_->keysRequired_;
  const bool teamTermsChanged = std::exchange(teamTermsChanged_, false);
  if (teamTermsChanged) {
    std::vector<TeamTerms> terms;
    terms.reserve(teamTerms_.size());
    for (const auto& [key, team] : teamTerms_) {
      terms.push_back(team);
    }
    teams_.SetTeams(terms);
  }
  if (std::exchange(teamKeysChanged_, false) || teamTermsChanged) {
    config->teams_ = std::make_shared<const TeamDirectory>(teams_);
  } else {
    config->teams_ = active_->teams_;
  }
  active_ = std::move(config);
  return Result::Activated;
}

} // namespace boragepier
