#include "boragepier/config/method_rule.h"

#include <algorithm>
#include <sstream>

namespace boragepier {

namespace {

constexpr std::size_t kMaxPrefixLength = 256;
constexpr std::size_t kMaxMethodLength = 20;

bool
IsMethod(std::string_view aText)
{
  return aText == "*" || (!aText.empty() && aText.size() <= kMaxMethodLength &&
                          std::all_of(aText.begin(), aText.end(), [](char aChar) {
                            return aChar >= 'A' && aChar <= 'Z';
                          }));
}

} // namespace

bool
IsPathPrefix(std::string_view aText)
{
  return !aText.empty() && aText.front() == '/' && aText.size() <= kMaxPrefixLength &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return aChar > 0x20 && aChar < 0x7f && aChar != '?' && aChar != '#';
         });
}

std::optional<MethodRule>
ParseMethodRule(std::string_view aText)
{
  std::istringstream words{ std::string(aText) };
  MethodRule rule{};
  std::string repeatability;
  std::string trailing;
  if (!(words >> rule.method_ >> rule.pathPrefix_ >> repeatability) || (words >> trailing) ||
      !IsMethod(rule.method_) || !IsPathPrefix(rule.pathPrefix_)) {
    return std::nullopt;
  }
  if (repeatability != "repeatable" && repeatability != "at-most-once") {
    return std::nullopt;
  }
  rule.repeatability_ =
    repeatability == "repeatable" ? Repeatability::Repeatable : Repeatability::AtMostOnce;
  return rule;
}

} // namespace boragepier
