#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_LOG_COMMAND_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_LOG_COMMAND_H

#include <iosfwd>

#include "apps/boragepierctl/ctl_options.h"

namespace boragepier::ctl {

/// Runs `explain --log`: writes what the given logs contain on one request and the likely cause of
/// its failure or duration.
/// @throws UsageError unless exactly one request id is given
/// @throws RequestUnknownError if no line names the request
/// @throws CtlError if a file cannot be read
void
RunExplainFromLogs(const CtlOptions& aOptions, std::ostream& aOutput);

/// Runs `log summary`: counts failed requests and attempts in the given logs, or in the standard
/// input if none is given.
/// @throws UsageError if the operand "summary" is missing
/// @throws CtlError if a file cannot be read
void
RunLogSummary(const CtlOptions& aOptions, std::ostream& aOutput);

} // namespace boragepier::ctl

#endif
