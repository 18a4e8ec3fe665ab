#include "boragepier/config/service_file.h"

#include <algorithm>

#include "boragepier/config/service_keys.h"

namespace boragepier {

namespace {

std::string
Place(std::string_view aFile, int aLine, std::string_view aKey)
{
  std::string place(aFile);
  if (aLine > 0) {
    place.append(":").append(std::to_string(aLine));
  }
  if (!aKey.empty()) {
    place.append(": ").append(aKey);
  }
  return place + ": ";
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
            "the rule for " + Quoted(text) + " lies outside service.path-prefix " +
              Quoted(aConfig.pathPrefix_));
    const auto same = [&](const MethodRule& aOther) {
      return aOther.method_ == rule.method_ && aOther.pathPrefix_ == rule.pathPrefix_;
    };
    Require(std::count_if(aConfig.rules_.begin(), aConfig.rules_.end(), same) == 1,
            aFile,
            "repeatability",
            "more than one rule for " + Quoted(text));
  }
}

// Checks what concerns more than one key.
void
CheckTogether(const ServiceConfig& aConfig, std::string_view aFile)
{
  Require(aConfig.defaultDeadline_ <= aConfig.maxDeadline_,
          aFile,
          "deadline.default-ms",
          "must not exceed deadline.max-ms");
  Require(aConfig.hedgeBudget_ <= aConfig.retryBudget_,
          aFile,
          "budget.hedges",
          "must not exceed budget.retries");
  // A claim that is deleted while its request can still be dispatched lets the call run twice.
  Require(aConfig.claimRetention_ >= 2 * aConfig.maxDeadline_,
          aFile,
          "claims.retention-s",
          "must be at least twice deadline.max-ms");
  CheckRules(aConfig, aFile);
}

} // namespace

ConfigError::ConfigError(std::string aFile, int aLine, std::string aKey, const std::string& aReason)
  : Error(Place(aFile, aLine, aKey) + aReason)
  , file_(std::move(aFile))
  , line_(aLine)
  , key_(std::move(aKey))
{
}

ServiceConfig
ParseServiceFile(std::string_view aText, std::string_view aFileName)
{
  ServiceConfig config = ReadByTable(ServiceKeys(), aText, aFileName);
  // RepeatabilityOf() takes the first of several rules with equal prefixes.
  std::stable_partition(config.rules_.begin(), config.rules_.end(), [](const MethodRule& aRule) {
    return aRule.method_ != "*";
  });
  CheckTogether(config, aFileName);
  return config;
}

} // namespace boragepier
