#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_LOG_COMMAND_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_LOG_COMMAND_H

#include <iosfwd>

#include "apps/boragepierctl/ctl_options.h"

namespace boragepier::ctl {

/// Shows one request from the logs given with --log.
/// @throws CtlError if a file cannot be read or no line names the request
void
RunExplainFromLogs(const CtlOptions& aOptions, std::ostream& aOutput);

/// Runs `log summary`.
/// @throws CtlError if a file cannot be read
void
RunLog(const CtlOptions& aOptions, std::ostream& aOutput);

} // namespace boragepier::ctl

#endif
