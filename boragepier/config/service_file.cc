#include "boragepier/config/service_file.h"

#include <algorithm>

#include "boragepier/config/service_keys.h"

namespace boragepier {

namespace {

std::string
LocationPrefix(std::string_view aFile, int aLine, std::string_view aKey)
{
  std::string prefix(aFile);
  if (aLine > 0) {
    prefix.append(":").append(std::to_string(aLine));
  }
  if (!aKey.empty()) {
    prefix.append(": ").append(aKey);
  }
  return prefix + ": ";
}

void
Require(bool aCondition, std::string_view aFile, std::string_view aKey, const std::string& aReason)
{
  if (!aCondition) {
    throw ConfigError(std::string(aFile), 0, std::string(aKey), aReason);
  }
}

void
CheckRules(const ServiceConfig& aConfig, std::string_view aFile)
{
  for (const MethodRule& rule : aConfig.rules_) {
    const std::string text = rule.method_ + " " + rule.pathPrefix_;
    Require(rule.pathPrefix_.starts_with(aConfig.pathPrefix_),
            aFile,
            "repeatability",
            "the rule for " + Quoted(text) + " is outside service.path-prefix " +
              Quoted(aConfig.pathPrefix_));
    const auto coversSameRequests = [&](const MethodRule& aOther) {
      return aOther.method_ == rule.method_ && aOther.pathPrefix_ == rule.pathPrefix_;
    };
    Require(std::count_if(aConfig.rules_.begin(), aConfig.rules_.end(), coversSameRequests) == 1,
            aFile,
            "repeatability",
            "more than one rule for " + Quoted(text));
  }
}

// Checks constraints between keys.
void
CheckKeyCombinations(const ServiceConfig& aConfig, std::string_view aFile)
{
  Require(aConfig.defaultDeadline_ <= aConfig.maxDeadline_,
          aFile,
          "deadline.default-ms",
          "must not exceed deadline.max-ms");
  Require(aConfig.hedgeRatio_ <= aConfig.retryRatio_,
          aFile,
          "budget.hedges",
          "must not exceed budget.retries");
  // If a claim is deleted while its request can still be sent, a retry by the caller with the
  // same Idempotency-Key is executed a second time.
  Require(aConfig.claimRetention_ >= 2 * aConfig.maxDeadline_,
          aFile,
          "claims.retention-s",
          "must be at least twice deadline.max-ms");
  CheckRules(aConfig, aFile);
}

} // namespace

ConfigError::ConfigError(std::string aFile, int aLine, std::string aKey, const std::string& aReason)
  : Error(LocationPrefix(aFile, aLine, aKey) + aReason)
  , file_(std::move(aFile))
  , line_(aLine)
  , key_(std::move(aKey))
{
}

ServiceConfig
ParseServiceFile(std::string_view aText, std::string_view aFileName)
{
  ServiceConfig config = ParseIniByKeys(ServiceKeys(), aText, aFileName);
  // RepeatabilityOf() uses the first of several rules with equal prefixes; a named method has
  // precedence over "*".
  std::stable_partition(config.rules_.begin(), config.rules_.end(), [](const MethodRule& aRule) {
    return aRule.method_ != "*";
  });
  CheckKeyCombinations(config, aFileName);
  return config;
}

} // namespace boragepier
