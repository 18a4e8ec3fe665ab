#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_EXPLAIN_TEXT_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_EXPLAIN_TEXT_H

#include <iosfwd>

#include <nlohmann/json_fwd.hpp>

namespace boragepier::ctl {

/// Writes an explain record as text: one line for the request, one for each attempt, one for each
/// candidate.
/// @param aRecord JSON object as the admin path /explain returns it
/// @throws nlohmann::json::exception if a field is missing or has another type
void
WriteExplainText(const nlohmann::json& aRecord, std::ostream& aOutput);

} // namespace boragepier::ctl

#endif
