#ifndef BORAGEPIER_CONFIG_METHOD_RULE_H
#define BORAGEPIER_CONFIG_METHOD_RULE_H

#include <optional>
#include <string_view>

#include "boragepier/config/service_config.h"

namespace boragepier {

/// @return whether the text is an absolute path of 1 to 256 visible ASCII characters without "?"
/// or "#"
bool
IsPathPrefix(std::string_view aText);

/// @param aText method, path prefix, and "repeatable" or "at-most-once", for example
///   "POST /orders/quote repeatable"
/// @return the rule, or nothing if the text is malformed
std::optional<MethodRule>
ParseMethodRule(std::string_view aText);

} // namespace boragepier

#endif
