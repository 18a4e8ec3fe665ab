#include "boragepier/config/service_config.h"

namespace boragepier {

Repeatability
RepeatabilityOf(const ServiceConfig& aConfig, std::string_view aMethod, std::string_view aPath)
{
  const MethodRule* best = nullptr;
  for (const MethodRule& rule : aConfig.rules_) {
    const bool methodMatches = rule.method_ == "*" || rule.method_ == aMethod;
    if (!methodMatches || !aPath.starts_with(rule.pathPrefix_)) {
      continue;
    }
    if (best == nullptr || rule.pathPrefix_.size() > best->pathPrefix_.size()) {
      best = &rule;
    }
  }
  if (best != nullptr) {
    return best->repeatability_;
  }
  const bool safe = aMethod == "GET" || aMethod == "HEAD" || aMethod == "OPTIONS";
  return safe ? Repeatability::Repeatable : Repeatability::AtMostOnce;
}

} // namespace boragepier
