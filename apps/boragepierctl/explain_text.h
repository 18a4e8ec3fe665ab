#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_EXPLAIN_TEXT_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_EXPLAIN_TEXT_H

#include <iosfwd>

#include <nlohmann/json_fwd.hpp>

namespace boragepier::ctl {

/// Writes an explain record, as /explain returns it, for people.
void
WriteExplainText(const nlohmann::json& aRecord, std::ostream& aOutput);

} // namespace boragepier::ctl

#endif
